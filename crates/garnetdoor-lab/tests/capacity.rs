//! The capacity page's proof in short, its table beside the page, and its check on figures that are off.

use std::time::Duration;

use extras::table::{self, TABLE};
use garnetdoor_lab::prove::Proof;
use garnetdoor_lab::prove::capacity::{cases, hold};

#[test]
fn the_short_proof_holds() {
    let days: Vec<_> = (0..3).map(|day| table::day(16, 200, 200, 7 + day)).collect();
    let proof = cases(&days, Duration::from_secs(8), None, 7).expect("the days are played");
    assert!(proof.ok(), "{}", proof.table());
}

#[test]
fn a_figure_that_is_half_more_than_the_table_says_is_a_miss_and_a_missed_limit_is_none() {
    let size = table::day(16, 200, 200, 3);
    let at = extras::fit::At {
        gateways: 16.0,
        prompters: 4.0,
        instances: 200.0,
        services: size.services as f64,
        routes: 200.0,
        tenants: 0.0,
    };
    let said = table::Figures { at, all: table::said(&at), yard_us: 300.0, replace_s: 0.1 };
    let mut good = Proof::new("capacity", 1);
    hold(&mut good, &said);
    assert!(good.ok(), "{}", good.table());
    let mut off = said.clone();
    off.all[0] *= 1.5;
    let mut bad = Proof::new("capacity", 1);
    hold(&mut bad, &off);
    assert!(!bad.ok());
    // Over a third of a core, and over its limit: the table says so as well.
    assert!(table::agrees(0.4, 0.5) && !table::agrees(0.4, 0.6));
}

/// The rows of the page's table, as the page has them.
#[test]
fn the_page_quotes_the_table() {
    let page = include_str!("../../../docs/CAPACITY.md");
    for row in TABLE {
        let slopes: Vec<String> = row
            .slopes
            .iter()
            .map(|(term, slope)| format!("{slope} {}", term.name()).trim_end().to_owned())
            .collect();
        let line = format!("| `{}` | {} | {} |", row.name, row.unit, slopes.join(" + "));
        assert!(page.contains(&line), "docs/CAPACITY.md lacks: {line}");
    }
}
