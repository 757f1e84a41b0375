//! What is tried again, and what is not.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::TcpListener;

use garnetdoor_bind::when_free;

#[test]
fn an_address_in_use_is_tried_again_and_told_of_once() {
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = held.local_addr().expect("an address");
    let (mut held, told, tries) = (Some(held), Cell::new(0), Cell::new(0));
    let bind = || {
        tries.set(tries.get() + 1);
        if tries.get() == 3 {
            held.take();
        }
        TcpListener::bind(at)
    };
    let bound = when_free(at, bind, |error| {
        told.set(told.get() + 1);
        assert!(error.to_string().starts_with(&at.to_string()), "{error}");
    });
    assert_eq!(bound.expect("it is free").local_addr().expect("an address"), at);
    assert_eq!((told.get(), tries.get()), (1, 3));
}

#[test]
fn any_other_error_comes_at_once() {
    let tries = Cell::new(0);
    let bind = || -> io::Result<()> {
        tries.set(tries.get() + 1);
        Err(ErrorKind::PermissionDenied.into())
    };
    let error = when_free("here", bind, |_| panic!("nothing to wait for")).expect_err("it is not allowed");
    assert_eq!((error.kind(), tries.get()), (ErrorKind::PermissionDenied, 1));
    assert!(error.to_string().starts_with("here: "), "{error}");
}
