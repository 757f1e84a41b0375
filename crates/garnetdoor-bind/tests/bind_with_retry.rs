//! Which bind errors are retried, and which are returned at once.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::TcpListener;

use garnetdoor_bind::bind_with_retry;

#[test]
fn an_address_in_use_is_retried_and_reported_once() {
    let holder = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = holder.local_addr().expect("an address");
    let (mut holder, reports, attempts) = (Some(holder), Cell::new(0), Cell::new(0));
    let bind = || {
        attempts.set(attempts.get() + 1);
        if attempts.get() == 3 {
            holder.take();
        }
        TcpListener::bind(address)
    };
    let bound = bind_with_retry(address, bind, |error| {
        reports.set(reports.get() + 1);
        assert!(error.to_string().starts_with(&address.to_string()), "{error}");
    });
    assert_eq!(bound.expect("the address is free").local_addr().expect("an address"), address);
    assert_eq!((reports.get(), attempts.get()), (1, 3));
}

#[test]
fn any_other_error_is_returned_at_once() {
    let attempts = Cell::new(0);
    let bind = || -> io::Result<()> {
        attempts.set(attempts.get() + 1);
        Err(ErrorKind::PermissionDenied.into())
    };
    let error =
        bind_with_retry("here", bind, |_| panic!("nothing to retry")).expect_err("permission is denied");
    assert_eq!((error.kind(), attempts.get()), (ErrorKind::PermissionDenied, 1));
    assert!(error.to_string().starts_with("here: "), "{error}");
}
