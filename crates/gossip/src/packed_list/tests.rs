use super::*;
use crate::endpoint_list::tests::up;

#[test]
fn parts_in_any_order_make_the_list_and_others_do_not() {
    let many = (0..3_000u64).map(|n| {
        let mut change = up(&format!("s-{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        if let Some(entry) = &mut change.entry {
            entry.since_ms = n * 977;
        }
        change
    });
    let list = EndpointList::new(many);
    let version = ListVersion {
        incarnation: 1,
        index: 7,
        digest: list.digest(),
    };
    let packed = PackedList::pack(version, &list).expect("it can be passed on");
    let parts = packed.parts();
    assert!(parts > 10, "{parts}");
    let mut partial = PartialList::new(version, parts).expect("so many may be");
    for number in (0..parts).rev() {
        assert!(partial.complete().is_none());
        let bytes = packed.part(number).expect("a part");
        assert!(!partial.add(number, parts + 1, bytes), "of another packed");
        assert!(partial.add(number, parts, bytes) && !partial.add(number, parts, bytes));
    }
    assert_eq!(partial.complete(), Some(Ok(list.clone())));
    assert!(packed.part(parts).is_none() && partial.missing(9).is_empty());
    // Of another list.
    let mut other = PartialList::new(
        ListVersion {
            digest: 1,
            ..version
        },
        parts,
    )
    .expect("so many may be");
    (0..parts).for_each(|n| assert!(other.add(n, parts, packed.part(n).expect("a part"))));
    assert_eq!(other.complete(), Some(Err(())));
    assert!(PartialList::new(version, 0).is_none() && PartialList::new(version, 5_000).is_none());
}
