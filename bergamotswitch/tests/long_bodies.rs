//! Tests of long request bodies that arrive at once.

mod users;

use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use users::{HOST, KEY, MEMORY_MB, Site, SiteOptions};

const BODY_BYTES: usize = 4 << 20;

/// Send a call with a body in chunks; get the status, if there is an answer.
async fn send_chunks(address: std::net::SocketAddr, number: usize) -> Option<u16> {
    const CHUNK: usize = 64 << 10;
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!(
        "POST /receipt/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: long-{number}\r\n\
         Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let (mut reader, mut writer) = stream.into_split();
    let sending = tokio::spawn(async move {
        let chunk = format!("{CHUNK:x}\r\n{}\r\n", "x".repeat(CHUNK));
        for _ in 0..BODY_BYTES / CHUNK {
            writer.write_all(chunk.as_bytes()).await?;
        }
        writer.write_all(b"0\r\n\r\n").await?;
        // The caller leaves once its side is closed.
        std::future::pending::<std::io::Result<()>>().await
    });
    let mut head = [0; 12];
    let answered = reader.read_exact(&mut head).await;
    sending.abort();
    answered.ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

/// Guards against many bodies without a stated length that take the memory of the host.
#[tokio::test]
async fn many_chunked() {
    let site = Site::start_with(SiteOptions {
        max_body_bytes: BODY_BYTES as u32,
        ..SiteOptions::default()
    })
    .await;
    assert_eq!(send_chunks(site.address(), 0).await, Some(200));
    let mut calls = JoinSet::new();
    for number in 1..=40 {
        calls.spawn(send_chunks(site.address(), number));
    }
    let statuses = calls.join_all().await;
    let refused = StatusCode::SERVICE_UNAVAILABLE.as_u16();
    let refused = statuses
        .iter()
        .flatten()
        .filter(|status| **status == refused);
    assert!(refused.count() > 0, "{statuses:?}");
    let peak = site.hosts[0].child.peak_memory();
    assert!(peak < MEMORY_MB << 20, "{peak} bytes, {statuses:?}");
}
