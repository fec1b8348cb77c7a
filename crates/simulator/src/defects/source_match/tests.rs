//! Tests of finding excerpts in source code.

use super::find_all;

#[test]
fn excerpt_matches_across_line_breaks_and_trailing_commas() {
    let source = "fn f() {\n    call(\n        one,\n        two,\n    );\n}\n";
    let found = find_all(source, "call(one, two);");
    assert_eq!(found.len(), 1);
    assert_eq!(
        &source[found[0].clone()],
        "call(\n        one,\n        two,\n    );"
    );
}

#[test]
fn all_occurrences_of_an_excerpt_are_found() {
    assert_eq!(find_all("a + b; a+b; a + c", "a + b"), [0..5, 7..10]);
}

#[test]
fn different_code_and_empty_excerpts_do_not_match() {
    assert!(find_all("call(one, two)", "call(two, one)").is_empty());
    assert!(find_all("call(one, two)", " ").is_empty());
}
