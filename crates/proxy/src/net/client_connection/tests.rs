//! Tests of the detection of the end of a request head.

use super::head_scan::HeadScan;

/// Excess data after a request is recognised by where the head ends, which must be where hyper ends it.
#[test]
fn the_end_of_a_head_is_detected_with_any_line_endings() {
    for (text, bytes_after_head) in [
        ("GET / HTTP/1.1\r\nA: b\r\n\r\nrest", 4),
        ("\r\n\r\nGET / HTTP/1.1\r\n\r\n", 0),
        ("GET / HTTP/1.1\nA: b\n\nxyz", 3),
        ("GET / HTTP/1.1\r\nA: b\n\r\nx", 1),
        ("GET / HTTP/1.1\r\nA: b\r\n", 0),
        ("GET / HTTP/1.1\r\nA: b\r\n\r", 0),
    ] {
        let mut scan = HeadScan::Before;
        let head = text.bytes().take_while(|&b| {
            let in_head = scan != HeadScan::Complete;
            scan = scan.next(b);
            in_head
        });
        assert_eq!(text.len() - head.count(), bytes_after_head, "{text:?}");
    }
}
