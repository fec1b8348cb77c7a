//! Tests of packing lists and of unpacking received parts.

use super::*;
use crate::endpoint_list::tests::up;

#[test]
fn parts_in_any_order_unpack_to_the_list_and_foreign_parts_are_rejected() {
    let entries = (0..3_000u64).map(|n| {
        let mut change = up(&format!("s-{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        if let Some(entry) = &mut change.entry {
            entry.since_ms = n * 977;
        }
        change
    });
    let list = EndpointList::new(entries);
    let version = ListVersion {
        incarnation: 1,
        index: 7,
        digest: list.digest(),
    };
    let packed = PackedList::pack(version, &list).expect("the list is small enough");
    let parts = packed.parts();
    assert!(parts > 10, "{parts}");
    let mut partial = PartialList::new(version, parts).expect("a valid number of parts");
    for number in (0..parts).rev() {
        assert!(partial.unpack().is_none());
        let bytes = packed.part(number).expect("a part");
        assert!(
            !partial.add(number, parts + 1, bytes),
            "a part of another list"
        );
        assert!(partial.add(number, parts, bytes) && !partial.add(number, parts, bytes));
    }
    let unpacked = partial.unpack().expect("no part is missing");
    assert_eq!(unpacked.expect("the list"), list);
    assert!(packed.part(parts).is_none() && partial.missing(9).is_empty());
    // The version has a different digest than the list that the parts form.
    let mut other = PartialList::new(
        ListVersion {
            digest: 1,
            ..version
        },
        parts,
    )
    .expect("a valid number of parts");
    (0..parts).for_each(|n| assert!(other.add(n, parts, packed.part(n).expect("a part"))));
    assert!(matches!(
        other.unpack(),
        Some(Err(UnpackError::DigestMismatch { expected: 1, .. }))
    ));
    assert!(PartialList::new(version, 0).is_none() && PartialList::new(version, 5_000).is_none());
}
