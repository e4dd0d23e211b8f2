//! Ranges are followed from owner to owner, also over a time without one.

use {
    super::Moves,
    cowslip_decide::{
        assign::Owner,
        names::{Fence, Name, Version},
    },
};

fn owner(target: &str, fence: u64) -> Option<Owner> {
    Some(Owner {
        target: target.into(),
        fence: Fence(fence),
        since: Version(1),
        standby: false,
    })
}

#[test]
fn a_range_is_followed_from_owner_to_owner() {
    let mut moves = Moves::default();
    let service: Name = "registry".into();
    let mut take = |ranges: &[(u64, Option<Owner>)]| {
        let ranges = ranges.iter().map(|(start, owner)| (*start, owner.as_ref()));
        let moves = moves.take(&service, ranges);
        let shown = moves.iter().map(|it| {
            let from = it.from.as_deref().unwrap_or("-");
            format!("{} {from}>{} {}", it.start, it.to, it.fence)
        });
        shown.collect::<Vec<_>>()
    };
    let first = take(&[(0, owner("a", 1)), (50, owner("b", 1))]);
    assert_eq!(first, ["0 ->a 1", "50 ->b 1"]);
    assert!(take(&[(0, owner("a", 1)), (50, None)]).is_empty());
    assert!(take(&[(0, owner("a", 1)), (50, owner("b", 1))]).is_empty());
    assert!(take(&[(0, None), (50, None)]).is_empty());
    assert_eq!(
        take(&[(0, owner("c", 2)), (50, owner("b", 2))]),
        ["0 a>c 2", "50 b>b 2"]
    );
    // A range that was cut out of another one follows from that one.
    let cut = take(&[
        (0, owner("c", 2)),
        (20, owner("d", 3)),
        (30, owner("c", 2)),
        (50, owner("b", 2)),
    ]);
    assert_eq!(cut, ["20 c>d 3"]);
    assert_eq!(
        take(&[(0, owner("c", 2)), (50, owner("b", 2))]),
        Vec::<String>::new()
    );
}
