//! Orders for an earlier life of a place don't count for the next one there.

use intent::ward::{Effect, Event};
use intent::{Fence, Step, Tuning, Ward};
use types::{LogIndex, MS, RunId, SECOND};

#[test]
fn orders_for_an_earlier_life_or_by_a_deposed_leader_are_not_obeyed() {
    let orders = [
        Step::Restart,
        Step::Withdraw,
        Step::Admit,
        Step::Rebuild { parts: 1 },
        Step::Resend { index: LogIndex(7), root: 3 },
    ];
    let fence = |term, number| Fence { term: types::Term(term), number };
    for step in orders {
        let mut ward = Ward::start(RunId(2), Tuning::of_apply(SECOND), 0);
        let open = ward.open();
        for number in 1..20 {
            let late = Event::Order { life: RunId(1), fence: fence(9, number), step };
            assert_eq!(ward.step(MS, late), [], "{step:?}");
        }
        assert_eq!(ward.open(), open, "{step:?}");
        // They have raised no fence either: this life's own, of an older term, still counts.
        let own = Event::Order { life: RunId(2), fence: fence(8, 1), step: Step::Restart };
        assert_eq!(ward.step(2 * MS, own), [Effect::Restart], "{step:?}");
        let deposed = Event::Order { life: RunId(2), fence: fence(7, 99), step: Step::Restart };
        assert_eq!(ward.step(3 * MS, deposed), [], "{step:?}");
        let next = Event::Order { life: RunId(2), fence: fence(8, 2), step: Step::Restart };
        assert_eq!(ward.step(4 * MS, next), [Effect::Restart], "{step:?}");
    }
}
