//! Tests of the copy of the policy on disk.

use super::*;

#[test]
fn a_truncated_or_damaged_copy_is_not_used() {
    let directory =
        std::env::temp_dir().join(format!("badgerramp-policy-copy-{}", std::process::id()));
    assert!(load(&directory, "a").expect("nothing yet").is_none());
    let texts = BTreeMap::from([(3, "some text".to_owned())]);
    let copy = PolicyCopy::new("a".to_owned(), texts.clone());
    save(&directory, &copy).expect("written");
    assert_eq!(
        load(&directory, "a").expect("good").expect("there").texts,
        texts
    );
    let path = copy_path(&directory, "a");
    let complete = fs::read(&path).expect("a file");
    for position in 0..complete.len() {
        fs::write(&path, &complete[..position]).expect("a file");
        assert!(
            load(&directory, "a").is_err(),
            "truncated at byte {position}"
        );
        let mut flipped = complete.clone();
        flipped[position] ^= 1;
        fs::write(&path, &flipped).expect("a file");
        assert!(
            load(&directory, "a").is_err(),
            "bit flipped in byte {position}"
        );
    }
    fs::remove_dir_all(&directory).expect("a folder");
}

/// A copy that an older build wrote.
const OLDER_COPY: &str = include_str!("../../tests/fixtures/caja.policy");

#[test]
fn a_copy_of_an_older_build_is_read_and_written_the_same() {
    let directory = std::env::temp_dir().join(format!(
        "badgerramp-policy-copy-older-{}",
        std::process::id()
    ));
    fs::create_dir_all(&directory).expect("a folder");
    let path = copy_path(&directory, "caja");
    fs::write(&path, OLDER_COPY).expect("a file");
    let texts = load(&directory, "caja")
        .expect("good")
        .expect("there")
        .into_texts();
    let expected = [(3, "listen = \"127.0.0.1:8080\"\n"), (12, "# \u{e9}\n")];
    assert_eq!(
        texts,
        expected
            .map(|(generation, text)| (generation, text.to_owned()))
            .into()
    );
    save(&directory, &PolicyCopy::new("caja".to_owned(), texts)).expect("written");
    assert_eq!(fs::read_to_string(&path).expect("a file"), OLDER_COPY);
    fs::remove_dir_all(&directory).expect("a folder");
}
