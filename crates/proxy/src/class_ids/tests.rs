//! Tests of the assignment of class ids.

use super::*;

#[test]
fn a_class_keeps_its_id_and_an_id_in_use_is_not_reused() {
    let mut class_ids = ClassIds::default();
    let ids = |all: &[usize]| all.iter().map(|&n| ClassId(n)).collect::<Vec<_>>();
    assert_eq!(
        class_ids.assign(&["a", "b"], |_| false),
        (ids(&[0, 1]), ids(&[0, 1]))
    );
    // `a` is removed while its calls are open: its id stays reserved.
    assert_eq!(
        class_ids.assign(&["c", "b"], |class| class == ClassId(0)),
        (ids(&[2, 1]), ids(&[2]))
    );
    // The calls of `a` have ended: its id is reused.
    assert_eq!(
        class_ids.assign(&["b", "d", "c"], |_| false),
        (ids(&[1, 0, 2]), ids(&[0]))
    );
    assert_eq!(
        class_ids.assign(&["c", "b", "d"], |_| true),
        (ids(&[2, 1, 0]), ids(&[]))
    );
}
