//! The copy of the policy on disk.

use super::*;

#[test]
fn a_truncated_or_damaged_copy_is_not_used() {
    let folder =
        std::env::temp_dir().join(format!("badgerramp-policy-copy-{}", std::process::id()));
    assert!(load(&folder, "a").expect("nothing yet").is_none());
    let texts = BTreeMap::from([(3, "some text".to_owned())]);
    let copy = PolicyCopy::new("a".to_owned(), texts.clone());
    save(&folder, &copy).expect("written");
    assert_eq!(
        load(&folder, "a").expect("good").expect("there").texts,
        texts
    );
    let path = copy_path(&folder, "a");
    let whole = fs::read(&path).expect("a file");
    for place in 0..whole.len() {
        fs::write(&path, &whole[..place]).expect("a file");
        assert!(load(&folder, "a").is_err(), "cut at {place}");
        let mut flipped = whole.clone();
        flipped[place] ^= 1;
        fs::write(&path, &flipped).expect("a file");
        assert!(load(&folder, "a").is_err(), "a bit at {place}");
    }
    fs::remove_dir_all(&folder).expect("a folder");
}

/// The copy that an older build wrote.
const COPY: &str = include_str!("../../tests/fixtures/caja.policy");

#[test]
fn a_copy_of_an_older_build_is_read_and_written_the_same() {
    let folder = std::env::temp_dir().join(format!(
        "badgerramp-policy-copy-older-{}",
        std::process::id()
    ));
    fs::create_dir_all(&folder).expect("a folder");
    let path = copy_path(&folder, "caja");
    fs::write(&path, COPY).expect("a file");
    let texts = load(&folder, "caja")
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
    save(&folder, &PolicyCopy::new("caja".to_owned(), texts)).expect("written");
    assert_eq!(fs::read_to_string(&path).expect("a file"), COPY);
    fs::remove_dir_all(&folder).expect("a folder");
}
