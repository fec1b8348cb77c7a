//! Which durations and sizes are accepted.

use badgerramp_toml_diagnostics::units::{parse_duration, parse_size};

#[test]
fn durations_and_sizes_need_a_valid_number_and_unit() {
    assert_eq!(parse_duration("1200ms"), Some(1_200_000));
    assert_eq!(parse_duration("1s 200ms"), Some(1_200_000));
    assert_eq!(
        (
            parse_duration("5"),
            parse_duration("-5ms"),
            parse_duration("5 parsecs")
        ),
        (None, None, None)
    );
    assert_eq!(parse_size("64KiB"), Some(65_536));
    assert_eq!((parse_size("64"), parse_size("many MB")), (None, None));
}
