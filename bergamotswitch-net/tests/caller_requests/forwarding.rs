//! Tests of requests that another host holds.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_core::entry::SubmitOutcome;
use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_net::answer::AnswerPart;
use bergamotswitch_net::input::{NodeInput, SubmissionReply};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fake_loop::{
    FakeHost, chat, chunk, data, get, next_chunk, send, spawn_call, stream_head, within_timeout,
};

async fn reply_forward(host: &mut FakeHost, holder: &HostIncarnation) {
    let received = SubmissionReply {
        outcome: SubmitOutcome::Forward(holder.clone()),
        answer: None,
    };
    let reply = host.submitted_reply().await;
    reply.send(received).expect("a caller that waits");
}

fn incarnation_of(name: &str) -> HostIncarnation {
    let text = format!("{name}~{:032x}", 5);
    HostIncarnation::try_from(text.as_str()).expect("an incarnation")
}

#[tokio::test]
async fn held_elsewhere() {
    let mut holder = FakeHost::ready("mza-norte-1", &[]);
    let hosts = [("mza-norte-1", holder.server.address())];
    let mut host = FakeHost::ready("sanjuan-1", &hosts);
    let incarnation = holder.incarnation.to_string();
    let fields = [
        ("idempotency-key", "fall-7"),
        ("bergamot-incarnation", incarnation.as_str()),
        ("bergamot-work", "report"),
    ];
    let response = tokio::spawn(send(host.server.address(), chat(true, &fields)));
    reply_forward(&mut host, &holder.incarnation).await;
    // The holder receives the same request and accepts it.
    let submitted = holder.submitted().await;
    assert_eq!(
        submitted.submission.holder,
        Some(holder.incarnation.clone())
    );
    assert_eq!(
        submitted.submission.key.as_ref().map(|key| key.as_str()),
        Some("fall-7")
    );
    let writer = holder.accept(submitted.reply);
    writer.push(stream_head());
    writer.push(chunk("At "));
    // The answer is streamed back with the holder's incarnation.
    let mut response = within_timeout(response).await.expect("an answer");
    assert_eq!(
        response.headers()["bergamot-incarnation"],
        incarnation.as_str()
    );
    assert!(next_chunk(response.body_mut()).await.contains("At "));
    writer.push(AnswerPart::End);
    assert_eq!(next_chunk(response.body_mut()).await, "data: [DONE]\n\n");
}

#[tokio::test]
async fn holder_named_late() {
    // Guards against a second run: the shard's owner may find the key only
    // after this host has sent the caller its own incarnation, and the holder
    // must not accept the request as new if it no longer has the key.
    let mut holder = FakeHost::ready("mza-norte-1", &[]);
    let hosts = [("mza-norte-1", holder.server.address())];
    let mut host = FakeHost::ready("sanjuan-1", &hosts);
    let fields = [("idempotency-key", "fall-7"), ("bergamot-work", "report")];
    for stream in [true, false] {
        let call = spawn_call(host.server.address(), chat(stream, &fields));
        let writer = host.accept_next().await;
        writer.push(AnswerPart::Forward(holder.incarnation.clone()));
        let submitted = holder.submitted().await;
        assert_eq!(
            submitted.submission.holder,
            Some(holder.incarnation.clone())
        );
        assert!(submitted.submission.resubmission);
        let writer = holder.accept(submitted.reply);
        writer.push(stream_head());
        writer.push(data(
            &serde_json::json!({"choices": [{"delta": {"content": "dawn"}}]}),
        ));
        writer.push(AnswerPart::End);
        let answer = call.await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(answer.text.contains("dawn"));
        assert_eq!(answer.text.ends_with("data: [DONE]\n\n"), stream);
        // A retry has to name the holder, and not the incarnation that was sent
        // first.
        let incarnation = format!(": bergamot-incarnation {}\n", holder.incarnation);
        assert_eq!(answer.text.contains(&incarnation), stream);
    }
}

#[tokio::test]
async fn holder_unreachable() {
    // Guards against a lost request that is reported as not run: the holder is
    // unreachable, unknown or restarted, or the request was forwarded before.
    // Bound without listening, so that it refuses connections and no other test gets
    // the port.
    let closed = tokio::net::TcpSocket::new_v4().expect("a socket");
    closed.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let closed_address = closed.local_addr().expect("an address");
    let mut host = FakeHost::ready("sanjuan-1", &[("mza-norte-1", closed_address)]);
    let cases = [
        ("mza-norte-1", chat(false, &[])),
        ("unknown-1", chat(false, &[])),
        ("sanjuan-1", chat(false, &[])),
        ("mza-norte-1", chat(true, &[("bergamot-forwarded", "1")])),
    ];
    for (name, request) in cases {
        let call = spawn_call(host.server.address(), request);
        reply_forward(&mut host, &incarnation_of(name)).await;
        let answer = call.await.expect("an answer");
        assert_eq!(answer.status, 502, "{name}");
        assert_eq!(answer.json()["error"]["code"], "lost");
        assert_eq!(answer.json()["error"]["ran"], "unknown");
        assert_eq!(answer.field("x-should-retry"), "false");
        host.input().await;
    }
    let page = host.metrics.render();
    assert!(page.contains("bergamot_forwards_total{reached=\"no\"} 4"));
}

/// Get the text that a caller receives if the holder of its stream fails after
/// this chunk, while the stream is forwarded behind an early head.
async fn text_before_loss(chunk: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // Closing a connection with unread bytes could discard what was
        // written.
        let mut request = Vec::new();
        while !request.ends_with(b"}") {
            stream.read_buf(&mut request).await.expect("a request");
        }
        let part = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n{:x}\r\n{chunk}\r\n",
            chunk.len()
        );
        stream.write_all(part.as_bytes()).await.expect("written");
    });
    let mut host = FakeHost::ready("sanjuan-1", &[("mza-norte-1", address)]);
    let fields = [("idempotency-key", "fall-7"), ("bergamot-work", "report")];
    let call = spawn_call(host.server.address(), chat(true, &fields));
    reply_forward(&mut host, &incarnation_of("mza-norte-1")).await;
    call.await.expect("an answer").text
}

// Guards against a truncated stream that looks complete, and against an error
// that is read as a part of the event in which the stream was cut.
#[tokio::test]
async fn holder_connection_lost() {
    for chunk in ["data: {}\n\n", "data: {}\n\ndata: {\"id\":"] {
        let text = text_before_loss(chunk).await;
        assert!(text.contains("data: {}\n\nevent: error\ndata: {"), "{text}");
        assert!(text.contains("\"lost\"") && text.contains("\"unknown\""));
        assert!(!text.contains("[DONE]"));
    }
}

// Guards against a cut answer of a holder that the caller gets as a whole one.
#[tokio::test]
async fn holder_answer_cut() {
    let framings = [
        "content-length: 4\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n4\r\n",
        "transfer-encoding: gzip\r\n\r\n",
        "\r\n",
    ];
    for framing in framings {
        for body in ["", "bo"] {
            for status in [200, 503] {
                for is_reset in [false, true] {
                    let head = format!("HTTP/1.1 {status} Status\r\n{framing}{body}");
                    let address = start_cut_holder(head.clone(), is_reset).await;
                    let mut host = FakeHost::ready("sanjuan-1", &[("mza-norte-1", address)]);
                    let request = get("/v1/services/red-app/crews", &[]);
                    let call = tokio::spawn(try_read(host.server.address(), request));
                    reply_forward(&mut host, &incarnation_of("mza-norte-1")).await;
                    let answer = call.await.expect("a caller");
                    let is_refused = |text: &String| text.contains("\"ran\":\"unknown\"");
                    assert!(answer.iter().all(is_refused), "{head}: {answer:?}");
                }
            }
        }
    }
}

/// Start a holder that stops after these bytes.
async fn start_cut_holder(bytes: String, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut request).await.expect("a request");
        }
        stream.write_all(bytes.as_bytes()).await.expect("written");
        if is_reset {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("a reset");
        }
    });
    address
}

/// Get the text of an answer, or `None` if it is cut.
async fn try_read(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<String> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let handshake = http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.expect("a handshake");
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let body = within_timeout(response.into_body().collect()).await.ok()?;
    Some(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

#[tokio::test]
async fn forwarded_caller_disconnects() {
    // The holder detects that the caller has disconnected, although the caller
    // is connected to another host.
    let mut holder = FakeHost::ready("mza-norte-1", &[]);
    let hosts = [("mza-norte-1", holder.server.address())];
    let mut host = FakeHost::ready("sanjuan-1", &hosts);
    let call = spawn_call(host.server.address(), chat(false, &[]));
    reply_forward(&mut host, &holder.incarnation).await;
    let _writer = holder.accept_next().await;
    call.abort();
    match holder.input().await {
        NodeInput::CallerDisconnected(id) => assert_eq!(id, holder.id(1)),
        other => panic!("not a caller's disconnect: {other:?}"),
    }
}
