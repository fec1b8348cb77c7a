//! Tests of the changes between lists, and of the order of versions.

use super::*;

pub(crate) fn up(name: &str) -> EndpointChange {
    let status = "up".to_owned();
    let entry = EndpointEntry {
        address: format!("127.0.0.1:{}", 9_000 + name.len()),
        status,
        ..EndpointEntry::default()
    };
    EndpointChange {
        name: name.to_owned(),
        entry: Some(entry),
    }
}

pub(crate) fn removed(name: &str) -> EndpointChange {
    EndpointChange {
        name: name.to_owned(),
        entry: None,
    }
}

#[test]
fn diff_applied_to_the_older_list_gives_the_newer_one() {
    let (old, new) = (
        EndpointList::new([up("a"), up("bb")]),
        EndpointList::new([up("bb"), up("ccc"), removed("d")]),
    );
    let changes = new.diff_from(&old);
    assert_eq!(changes, vec![removed("a"), up("ccc")]);
    assert_eq!(old.apply(&changes), new);
    assert_eq!(
        (
            new.diff_from(&new).len(),
            new.count_missing_from(&old),
            new.count_up()
        ),
        (0, 1, 2)
    );
    assert_eq!(EndpointList::decode(&new.encode()), Ok(new.clone()));
    assert_ne!(new.digest(), old.digest());
    assert!(EndpointList::decode(&new.encode()[..9]).is_err());
}

#[test]
fn newer_incarnation_orders_after_any_index_of_the_older_one() {
    let version = |incarnation, index, digest| ListVersion {
        incarnation,
        index,
        digest,
    };
    assert!(version(2, 1, 0) > version(1, 900, 9) && version(1, 8, 0) > version(1, 7, 9));
}
