//! Pieces of code and where they are found.

use super::find_all;

#[test]
fn a_piece_is_found_over_line_breaks_and_trailing_commas() {
    let source = "fn f() {\n    call(\n        one,\n        two,\n    );\n}\n";
    let found = find_all(source, "call(one, two);");
    assert_eq!(found.len(), 1);
    assert_eq!(
        &source[found[0].clone()],
        "call(\n        one,\n        two,\n    );"
    );
}

#[test]
fn every_place_of_a_piece_is_found() {
    assert_eq!(find_all("a + b; a+b; a + c", "a + b"), [0..5, 7..10]);
}

#[test]
fn other_code_and_nothing_are_not_found() {
    assert!(find_all("call(one, two)", "call(two, one)").is_empty());
    assert!(find_all("call(one, two)", " ").is_empty());
}
