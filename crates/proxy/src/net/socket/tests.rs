//! Tests of TCP sockets.

use super::Stream;
use std::io::Write;
use tokio::net::{TcpListener, TcpStream};

/// The end of a connection was noticed only once all data before it had been read.
#[tokio::test]
async fn a_close_behind_unread_data_is_noticed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut client = std::net::TcpStream::connect(address).expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    client
        .write_all(&[b'x'; 50_000])
        .expect("an open connection");
    TcpStream::readable(&stream).await.expect("an open socket");
    assert!(!Stream::read_closed(&stream));
    drop(client);
    while !Stream::read_closed(&stream) {
        tokio::task::yield_now().await;
    }
    assert!(!Stream::nothing_to_read(&stream));
}
