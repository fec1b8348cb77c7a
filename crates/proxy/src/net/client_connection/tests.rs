//! Tests of the end of a head.

use super::head_scan::HeadScan;

/// Bytes behind a request are told by where its head ends; a library that ends it elsewhere would see others.
#[test]
fn the_end_of_a_head_is_found_in_every_spelling() {
    for (text, behind) in [
        ("GET / HTTP/1.1\r\nA: b\r\n\r\nrest", 4),
        ("\r\n\r\nGET / HTTP/1.1\r\n\r\n", 0),
        ("GET / HTTP/1.1\nA: b\n\nxyz", 3),
        ("GET / HTTP/1.1\r\nA: b\n\r\nx", 1),
        ("GET / HTTP/1.1\r\nA: b\r\n", 0),
        ("GET / HTTP/1.1\r\nA: b\r\n\r", 0),
    ] {
        let mut scan = HeadScan::Before;
        let head = text.bytes().take_while(|&b| {
            let going = scan != HeadScan::Complete;
            scan = scan.next(b);
            going
        });
        assert_eq!(text.len() - head.count(), behind, "{text:?}");
    }
}
