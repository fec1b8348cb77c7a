//! Responses that arrive in several segments, each of which the program reads before the next one is sent.

use super::in_process::*;
use badgerramp_testkit::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;

/// A host that sends each response in segments: the first one at once, and each further one when it is told to.
struct SegmentHost {
    address: SocketAddr,
    next_segment: mpsc::Sender<()>,
}

impl SegmentHost {
    fn start(segments: &[&str]) -> SegmentHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (next_segment, told) = mpsc::channel();
        let told = Arc::new(Mutex::new(told));
        let segments: Vec<String> = segments.iter().map(|&s| s.to_owned()).collect();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (segments, told) = (segments.clone(), Arc::clone(&told));
                thread::spawn(move || {
                    let mut stream = std::io::BufReader::new(stream);
                    while read(&mut stream).is_some() {
                        for (index, segment) in segments.iter().enumerate() {
                            let told = told.lock().expect("no panic");
                            if index > 0 && told.recv().is_err() {
                                return;
                            }
                            let _ = stream.get_mut().write_all(segment.as_bytes());
                        }
                    }
                });
            }
        });
        SegmentHost {
            address,
            next_segment,
        }
    }
}

/// Sends an unsafe call to a host that responds in two segments, the second of which arrives right after the first has
/// been read. Returns the status and the body of the response to the client.
fn call_with_two_segments(first: &str, second: &str) -> (u16, Vec<u8>) {
    let mut result = None;
    run_local(async || {
        let host = SegmentHost::start(&[first, second]);
        let program = InProcessProxy::start_at(1_024, host.address).await;
        let next_segment = host.next_segment.clone();
        program.hooks.set_hook(
            HookPoint::DataRead,
            FIRST_UPSTREAM_CONNECTION,
            move |stream| {
                next_segment.send(()).expect("the host waits");
                while stream.peek(&mut [0]).is_err() {
                    thread::yield_now();
                }
            },
        );
        let (_, response) = on_client_thread(program.client(), |c| c.call("unsafe", "3000m")).await;
        assert!(program.hooks.hook_ran());
        result = Some((response.status(), response.body));
    });
    result.expect("a response")
}

/// A response whose length was too short was served if the rest of it came in a segment of its own.
#[test]
fn a_response_whose_rest_arrives_in_another_segment_is_not_served() {
    let head = "HTTP/1.1 200 OK\r\n";
    for (first, second) in [
        // The first segment ends where the length says that the body ends, before that, or with the head.
        ("Content-Length: 9\r\n\r\nthe whole", " body"),
        ("Content-Length: 9\r\n\r\nthe w", "hole body"),
        ("Content-Length: 9\r\n\r\n", "the whole body"),
        ("Content-Length: 0\r\n\r\n", "the whole body"),
        (
            "Content-Length: 9\r\nConnection: close\r\n\r\nthe whole",
            " body",
        ),
        ("Content-Len", "gth: 9\r\n\r\nthe whole body"),
        (
            "Transfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n0\r\n\r\n",
            "5\r\n body\r\n0\r\n\r\n",
        ),
        (
            "Transfer-Encoding: chunked\r\n\r\n9\r\nthe wh",
            "ole\r\n0\r\n\r\n5\r\n body\r\n0\r\n\r\n",
        ),
    ] {
        let (status, _) = call_with_two_segments(&format!("{head}{first}"), second);
        assert_eq!(status, 502, "{first:?} and {second:?}");
    }
}

/// A sound response is served in whatever segments it arrives.
#[test]
fn a_sound_response_in_two_segments_is_served() {
    let response = answer("200 OK", "", "the whole body");
    for length in [1, 20, response.len() - 14, response.len() - 1] {
        let (first, second) = response.split_at(length);
        let expected = (200, b"the whole body".to_vec());
        assert_eq!(call_with_two_segments(first, second), expected, "{first:?}");
    }
}
