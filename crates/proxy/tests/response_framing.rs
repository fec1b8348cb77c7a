//! Responses that do not end where their framing says, as a process of the program meets them: on the platform and as a
//! sidecar.

use badgerramp_testkit::*;

const PROGRAM: &str = env!("CARGO_BIN_EXE_badgerramp");

/// The body that a host has for a request.
const BODY: &str = "the whole body of this response\r\n";
/// More than the program reads at once, so that the end of the body is read separately.
const LONG_BODY_LEN: usize = 10_000;

/// A response with a length that is `missing` bytes too short for its body.
fn too_short(status: &str, headers: &str, body: &str, missing: usize) -> String {
    let length = body.len() - missing;
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// A response whose last chunk comes before the end of its body.
fn chunks_end_early(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nthe whole\r\n0\r\n\r\n5\r\n body\r\n0\r\n\r\n")
}

/// Responses with this status, each of which is followed by data on its connection: by the end of its body, or by what
/// can't be told from that.
fn truncated_responses(status: &str) -> Vec<Reply> {
    let long = "x".repeat(LONG_BODY_LEN);
    let close = "Connection: close\r\n";
    vec![
        Reply::Write(too_short(status, "", BODY, 1)),
        Reply::Write(too_short(status, "", BODY, 2)),
        Reply::Write(too_short(status, "", BODY, 20)),
        Reply::Write(too_short(status, "", BODY, BODY.len())),
        Reply::Write(too_short(status, "", &long, 1)),
        Reply::Write(too_short(status, "", &long, LONG_BODY_LEN / 2)),
        Reply::Write(too_short(status, close, BODY, 20)),
        Reply::WriteAndClose(too_short(status, "", BODY, 20)),
        Reply::WriteAndClose(too_short(status, close, BODY, 20)),
        Reply::WriteAndClose(too_short(status, "", BODY, 20).replacen("HTTP/1.1", "HTTP/1.0", 1)),
        Reply::Write(format!(
            "HTTP/1.1 103 Early Hints\r\n\r\n{}",
            too_short(status, "", BODY, 20)
        )),
        Reply::Write(chunks_end_early(status)),
        Reply::WriteAndClose(chunks_end_early(status)),
        Reply::Write(answer(status, "", BODY) + "noise"),
        Reply::Write(answer(status, "", BODY) + "\r\n"),
        Reply::Write(answer(status, "", BODY) + "HTTP/1.1 200 OK\r\nContent-Le"),
        Reply::Write(answer(status, "", BODY) + &answer("200 OK", "", "of another request")),
        // The second copy lacks its end, so that a host that shortens all responses may have sent it.
        Reply::Write(answer(status, "", BODY) + &too_short(status, "", BODY, 0)[..40]),
    ]
}

/// A host whose first response is `reply`, and whose further ones are sound.
fn host_with_first(reply: Reply) -> Host {
    Host::start(move |n| match n {
        0 => reply.clone(),
        _ => Reply::Write(answer("200 OK", "", "sound")),
    })
}

/// The beginning of what a host writes, for messages.
fn excerpt(reply: &Reply) -> String {
    format!("{reply:?}").chars().take(200).collect()
}

/// A response whose length was too short was served as if it were whole, with a length that fitted.
#[test]
fn a_truncated_response_is_not_served_on_the_platform() {
    let not_processed = "503 Service Unavailable\r\nX-Not-Processed: 1";
    for status in ["200 OK", "500 Internal Server Error", not_processed] {
        for reply in truncated_responses(status) {
            let (discovery, text) = (Discovery::start(), excerpt(&reply));
            let host = host_with_first(reply);
            let proxy = Proxy::start(PROGRAM, &discovery, &[entry("s-1", host.address, "up", 0)]);
            let mut client = proxy.client();
            assert_eq!(client.call("unsafe", "2000m").status(), 502, "{text}");
            let second = client.call("unsafe", "2000m");
            assert_eq!((second.status(), second.body), (200, b"sound".to_vec()));
            // Neither call was sent twice, and the connection of the first was not used again.
            assert_eq!((host.request().0, host.request().0), (0, 1), "{text}");
            assert!(host
                .events
                .try_iter()
                .all(|e| !matches!(e, HostEvent::Request(..))));
        }
    }
}

/// An operator's file with a single route, for unsafe calls to this host.
fn operators_file(host: &Host) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\n\
         [upstream]\nendpoints = [{{ name = \"s-1\", address = \"{}\" }}]\n\
         [class.unsafe]\naim = \"1500ms\"\ndeadline = \"3s\"\neffect = \"unsafe\"\n\
         [[route]]\nname = \"all\"\nprefix = \"/\"\nclass = \"unsafe\"\n",
        host.address
    )
}

/// Sends a request with this method to a sidecar, and returns the head of its response.
fn ask_head(client: &mut Client, method: &str) -> Message {
    client.write(&format!(
        "{method} /charges HTTP/1.1\r\nHost: gym.example\r\nContent-Length: 0\r\n\r\n"
    ));
    client.answer_head().expect("a response")
}

/// Checks that a sidecar answers 502 to a request if the host replies so, and that it sends the request only once.
fn assert_sidecar_fails_call(method: &str, reply: Reply) {
    let text = format!("{method}: {}", excerpt(&reply));
    let host = host_with_first(reply);
    let proxy = Proxy::sidecar(PROGRAM, &[], &operators_file(&host));
    assert_eq!(
        ask_head(&mut proxy.client(), method).status(),
        502,
        "{text}"
    );
    let second = ask_head(&mut proxy.client(), "POST");
    assert_eq!(
        (second.status(), second.header("content-length")),
        (200, Some("5")),
        "{text}"
    );
    assert_eq!((host.request().0, host.request().0), (0, 1), "{text}");
    assert!(host
        .events
        .try_iter()
        .all(|e| !matches!(e, HostEvent::Request(..))));
}

/// The same fault in a sidecar, which also passes on other statuses than 200, and those of errors.
#[test]
fn a_truncated_response_is_not_served_by_a_sidecar() {
    for reply in truncated_responses("200 OK") {
        assert_sidecar_fails_call("POST", reply);
    }
    for status in [
        "201 Created",
        "206 Partial Content",
        "301 Moved Permanently",
        "404 Not Found",
        "500 Internal Server Error",
        "502 Bad Gateway",
    ] {
        assert_sidecar_fails_call("POST", Reply::Write(too_short(status, "", BODY, 20)));
    }
    for method in ["GET", "PUT", "DELETE", "PATCH", "OPTIONS", "PURGE"] {
        assert_sidecar_fails_call(method, Reply::Write(too_short("200 OK", "", BODY, 20)));
        assert_sidecar_fails_call(method, Reply::Write(chunks_end_early("200 OK")));
    }
}

/// Responses that have no body by their status or method, and are followed by one, were served without it.
#[test]
fn a_response_without_a_body_that_is_followed_by_one_is_not_served_by_a_sidecar() {
    let bare = |status: &str| format!("HTTP/1.1 {status}\r\n\r\n{BODY}");
    for (method, text) in [
        ("POST", bare("204 No Content")),
        ("GET", bare("304 Not Modified")),
        ("GET", answer("304 Not Modified", "", BODY)),
        (
            "POST",
            answer("204 No Content", "Connection: close\r\n", BODY),
        ),
        ("HEAD", answer("200 OK", "", BODY)),
        ("HEAD", answer("404 Not Found", "", BODY)),
        ("HEAD", bare("200 OK")),
        ("HEAD", chunks_end_early("200 OK")),
    ] {
        assert_sidecar_fails_call(method, Reply::Write(text.clone()));
        assert_sidecar_fails_call(method, Reply::WriteAndClose(text));
    }
}

/// A response that comes twice in the same moment is whole, as its copy begins where its framing says that it ends.
#[test]
fn a_response_that_is_followed_by_its_copy_is_served() {
    let long = "x".repeat(LONG_BODY_LEN);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (text, body) in [
        (answer("200 OK", "", BODY), BODY),
        (answer("200 OK", "Connection: close\r\n", BODY), BODY),
        (
            answer("200 OK", "X-Server-Load: TEXT inflight=1\r\n", ""),
            "",
        ),
        (answer("200 OK", "", &long), &long),
        (chunked.to_owned(), "whole"),
    ] {
        let (discovery, host) = (
            Discovery::start(),
            host_with_first(Reply::Write(text.repeat(2))),
        );
        let proxy = Proxy::start(PROGRAM, &discovery, &[entry("s-1", host.address, "up", 0)]);
        let mut client = proxy.client();
        let first = client.call("unsafe", "2000m");
        assert_eq!(
            (first.status(), first.body),
            (200, body.as_bytes().to_vec())
        );
        assert_eq!(client.call("unsafe", "2000m").body, b"sound");
        assert_eq!((host.request().0, host.request().0), (0, 1));
    }
}

/// A 101 that nobody asked for is not a final response. It was passed on to the client as if it were one.
#[test]
fn an_unrequested_switch_of_protocols_is_not_passed_on_by_a_sidecar() {
    let text = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\nContent-Length: 0\r\n\r\n";
    for rest in ["", "data of the other protocol"] {
        assert_sidecar_fails_call("GET", Reply::Write(text.to_owned() + rest));
    }
}
