//! Tests of streamed and buffered answers to callers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bergamotswitch_core::entry::SubmitOutcome;
use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use bergamotswitch_net::answer::AnswerPart;
use bergamotswitch_net::input::{NodeInput, SubmissionReply};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request};
use serde_json::json;

use crate::fake_loop::{
    FakeHost, KEY, chat, chunk, data, get, head, next_chunk, read, send, send_h2, spawn_call,
    stream_head, within_timeout,
};

fn usage_chunk() -> AnswerPart {
    data(&json!({"id": "chat-1", "choices": [], "usage": {"prompt_tokens": 5}}))
}

#[tokio::test]
async fn streamed_answer() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let call = spawn_call(host.server.address(), chat(true, &[]));
    let writer = host.accept_next().await;
    for part in [
        stream_head(),
        chunk("At "),
        chunk("dawn"),
        usage_chunk(),
        AnswerPart::End,
    ] {
        writer.push(part);
    }
    let answer = call.await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.field("content-type"), "text/event-stream");
    assert_eq!(answer.field("bergamot-request"), host.id(1).to_string());
    let events: Vec<&str> = answer.text.split_terminator("\n\n").collect();
    // The caller did not request the usage chunk, so it is withheld.
    assert_eq!(events.len(), 3);
    assert!(events[0].starts_with("data: {") && events[0].contains("At "));
    assert_eq!(events[2], "data: [DONE]");
}

#[tokio::test]
async fn assembled_answer() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let call = spawn_call(host.server.address(), chat(false, &[]));
    let writer = host.accept_next().await;
    let tool = |arguments: &str| {
        data(&json!({"choices": [{"index": 1, "delta": {"tool_calls": [
            {"index": 0, "id": "t-1", "function": {"name": "find", "arguments": arguments}},
        ]}}]}))
    };
    let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
    for part in [
        stream_head(),
        chunk("At "),
        chunk("dawn"),
        tool("{\"a\""),
        tool(":1}"),
    ] {
        writer.push(part);
    }
    for part in [data(&end), usage_chunk(), AnswerPart::End] {
        writer.push(part);
    }
    let answer = call.await.expect("an answer");
    let expected = json!({
        "id": "chat-1", "object": "chat.completion", "model": "bolido-llm",
        "usage": {"prompt_tokens": 5},
        "choices": [
            {
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": "At dawn"},
            },
            {
                "index": 1, "finish_reason": null,
                "message": {"role": "assistant", "content": null, "tool_calls": [
                    {"id": "t-1", "function": {"name": "find", "arguments": "{\"a\":1}"}},
                ]},
            },
        ],
    });
    assert_eq!(answer.json(), expected);
}

#[tokio::test]
async fn incarnation_sent_first() {
    // Guards against a second run of a request that must run once: if the
    // connection breaks before the caller knows the incarnation of the holder,
    // its retry at another host looks like a new request.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let fields = [("idempotency-key", "fall-7"), ("bergamot-work", "report")];
    let response = within_timeout(send(host.server.address(), chat(true, &fields))).await;
    // The event loop has not answered yet, and the caller has the head and the
    // incarnation.
    let incarnation = host.incarnation.to_string();
    assert_eq!(
        response.headers()["bergamot-incarnation"],
        incarnation.as_str()
    );
    let mut body = response.into_body();
    let first_event = next_chunk(&mut body).await;
    assert_eq!(
        first_event,
        format!(": bergamot-incarnation {incarnation}\n\n")
    );

    let writer = host.accept_next().await;
    let id = next_chunk(&mut body).await;
    assert_eq!(id, format!(": bergamot-request {}\n\n", host.id(1)));
    writer.push(stream_head());
    writer.push(chunk("dawn"));
    writer.push(AnswerPart::End);
    assert!(next_chunk(&mut body).await.contains("dawn"));
    assert_eq!(next_chunk(&mut body).await, "data: [DONE]\n\n");
}

#[tokio::test]
async fn incarnation_before_submission() {
    // As above: the incarnation must have been written when the event loop
    // receives the request.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let body = r#"{"model":"bolido-llm","stream":true,"messages":[{"role":"user","content":"a"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: fall-7\r\nbergamot-work: report\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    let mut stream = TcpStream::connect(host.server.address()).expect("a connection");
    stream.write_all(request.as_bytes()).expect("written");
    stream.set_nonblocking(true).expect("a setting");
    host.submitted().await;
    // The read does not wait: only what was sent before is available.
    let mut sent = [0; 4096];
    let len = stream.read(&mut sent).expect("head and incarnation");
    let sent = String::from_utf8_lossy(&sent[..len]);
    assert!(sent.contains(&format!(": bergamot-incarnation {}\n\n", host.incarnation)));
}

#[tokio::test]
async fn refused_after_head() {
    // A refusal after the head is an error event, and the stream has no [DONE].
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let call = spawn_call(host.server.address(), chat(true, &[]));
    let writer = host.accept_next().await;
    writer.push(stream_head());
    writer.push(chunk("At "));
    let refusal = Refusal::may_have_run(RefusalReason::AnswerTruncated);
    writer.push(AnswerPart::Refused(refusal));
    let answer = call.await.expect("an answer");
    let last = answer.text.split_terminator("\n\n").last().expect("events");
    assert!(last.starts_with("event: error\ndata: {"));
    assert!(last.contains("\"answer-truncated\"") && last.contains("\"unknown\""));
    assert!(!answer.text.contains("[DONE]"));
}

#[tokio::test]
async fn refused_before_head() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let call = spawn_call(host.server.address(), chat(true, &[]));
    let refusal = Refusal::before_acceptance(RefusalReason::Overloaded)
        .with_retry_after(Duration::from_millis(2100));
    let received = SubmissionReply {
        outcome: SubmitOutcome::Refused(refusal),
        answer: None,
    };
    let reply = host.submitted_reply().await;
    reply.send(received).expect("a caller that waits");
    let answer = call.await.expect("an answer");
    assert_eq!(answer.status, 429);
    assert_eq!(answer.field("retry-after"), "3");
    assert_eq!(answer.json()["error"]["retry_after_ms"], 2100);
    assert!(!answer.headers.contains_key("x-should-retry"));
}

#[tokio::test]
async fn dropped_answer() {
    // Guards against a truncated answer that looks complete: the event loop
    // drops the answer after its first data, without an end part.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    for (stream, status, code) in [(false, 502, "lost"), (true, 200, "answer-truncated")] {
        let call = spawn_call(host.server.address(), chat(stream, &[]));
        let writer = host.accept_next().await;
        writer.push(stream_head());
        writer.push(chunk("At "));
        drop(writer);
        let answer = call.await.expect("an answer");
        assert!(answer.text.contains(&format!("\"{code}\"")));
        assert!(answer.text.contains("\"unknown\""));
        assert!(!answer.text.contains("[DONE]"));
        assert_eq!(answer.status, status);
    }
}

#[tokio::test]
async fn attempt_replaced() {
    // Guards against parts of a replaced attempt in the answer: its head, a
    // chunk without output or its error must not be passed on while another
    // attempt may follow.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let role = data(&json!({"id": "chat-1", "choices": [{"delta": {"role": "assistant"}}]}));
    let error = AnswerPart::Data(Bytes::from_static(b"{\"error\":1}"));
    let broken = [stream_head(), role, chunk("dawn")];
    let failed = [head(500, "application/json"), error];
    let cases = [
        (&broken[..2], &failed[..], 500, "{\"error\":1}"),
        (&failed[..], &broken[..], 200, "data: [DONE]\n\n"),
    ];
    for (first, second, status, end) in cases {
        let call = spawn_call(host.server.address(), chat(true, &[]));
        let writer = host.accept_next().await;
        first.iter().for_each(|part| writer.push(part.clone()));
        tokio::time::sleep(Duration::from_millis(20)).await;
        writer.clear();
        second.iter().for_each(|part| writer.push(part.clone()));
        writer.push(AnswerPart::End);
        let answer = call.await.expect("an answer");
        assert_eq!(answer.status, status);
        assert!(answer.text.ends_with(end), "{}", answer.text);
    }
}

#[tokio::test]
async fn attempt_replaced_after_output() {
    // Guards against a stream with the output of two runs: the attempt is
    // replaced after some of its output has been passed on.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let response = tokio::spawn(send(host.server.address(), chat(true, &[])));
    let writer = host.accept_next().await;
    writer.push(stream_head());
    writer.push(chunk("At "));
    let mut response = response.await.expect("an answer");
    assert!(next_chunk(response.body_mut()).await.contains("At "));
    writer.clear();
    for part in [stream_head(), chunk("A"), chunk(" bolide"), AnswerPart::End] {
        writer.push(part);
    }
    let rest = read(response).await.text;
    assert!(rest.starts_with("event: error\n") && rest.contains("\"answer-truncated\""));
    assert!(!rest.contains("bolide") && !rest.contains("[DONE]"));
    // The event loop is notified that this caller no longer follows the answer.
    assert!(matches!(
        host.input().await,
        NodeInput::CallerDisconnected(_)
    ));
}

#[tokio::test]
async fn plain_service() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let request = Request::put("/v1/services/red-app/crews/a%2Fb?day=2&x=%20")
        .header("host", "test")
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "text/csv")
        .body(http_body_util::Full::new(Bytes::from_static(b"a,b")))
        .expect("a request");
    let call = spawn_call(host.server.address(), request);
    let submitted = host.submitted().await;
    assert_eq!(submitted.call.method, http::Method::PUT);
    assert_eq!(submitted.call.path, "/crews/a%2Fb?day=2&x=%20");
    assert_eq!(submitted.call.content_type, "text/csv");
    assert_eq!(submitted.call.body, "a,b");
    let writer = host.accept(submitted.reply);
    writer.push(head(201, "text/plain"));
    writer.push(AnswerPart::Data(Bytes::from_static(b"crew ")));
    writer.push(AnswerPart::Data(Bytes::from_static(b"sent")));
    writer.push(AnswerPart::End);
    let answer = call.await.expect("an answer");
    assert_eq!((answer.status, answer.text.as_str()), (201, "crew sent"));
    assert_eq!(answer.field("content-type"), "text/plain");

    // The coding of a body is passed on with it.
    let call = spawn_call(host.server.address(), get("/v1/services/red-app", &[]));
    let writer = host.accept_next().await;
    let mut fields = HeaderMap::new();
    fields.insert("content-encoding", HeaderValue::from_static("gzip"));
    writer.push(AnswerPart::Head {
        status: 200,
        content_type: "text/plain".to_owned(),
        fields,
    });
    writer.push(AnswerPart::Data(Bytes::from_static(b"coded")));
    writer.push(AnswerPart::End);
    let answer = call.await.expect("an answer");
    assert_eq!(answer.field("content-encoding"), "gzip");

    // A call without a path goes to the root of the service.
    let call = spawn_call(
        host.server.address(),
        get("/v1/services/red-app?day=2", &[]),
    );
    assert_eq!(host.submitted().await.call.path, "/?day=2");
    call.abort();
}

// Guards against a client library that repeats a call that must run once, by the status of
// the error with which its run ended.
#[tokio::test]
async fn target_errors() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let once = [("bergamot-dispatch-once", "true")];
    let no_rerun = [("bergamot-idempotent", "false")];
    let report = [("bergamot-work", "report")];
    let service = "/v1/services/red-app/crews";
    let cases = [
        (get(service, &[]), true),
        (get(service, &once), false),
        (get(service, &no_rerun), false),
        (chat(false, &[]), true),
        (chat(false, &report), false),
    ];
    for (request, may_rerun) in cases {
        for status in [400, 408, 409, 429, 500, 503] {
            let call = spawn_call(host.server.address(), request.clone());
            let writer = host.accept_next().await;
            writer.push(head(status, "text/plain"));
            writer.push(AnswerPart::Data(Bytes::from_static(b"failed")));
            writer.push(AnswerPart::End);
            let answer = call.await.expect("an answer");
            let found = (answer.status, answer.text.as_str());
            assert_eq!(found, (status, "failed"));
            let retry = answer.headers.get("x-should-retry");
            let expected = (!may_rerun).then_some("false");
            assert_eq!(retry.and_then(|value| value.to_str().ok()), expected);
        }
    }
}

#[tokio::test]
async fn graceful_stop() {
    // Guards against a graceful stop that truncates answers in progress, at
    // once or after a timeout.
    for h2 in [false, true] {
        stop_with_answer(h2).await;
    }
}

async fn stop_with_answer(h2: bool) {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let address = host.server.address();
    let response = match h2 {
        false => tokio::spawn(send(address, chat(true, &[]))),
        true => tokio::spawn(send_h2(address, chat(true, &[]))),
    };
    let writer = host.accept_next().await;
    writer.push(stream_head());
    writer.push(chunk("At "));
    let mut response = response.await.expect("an answer");
    assert!(next_chunk(response.body_mut()).await.contains("At "));
    host.server.stop();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = tokio::net::TcpStream::connect(address).await;
    assert!(refused.is_err(), "a stopping server accepts nothing");
    writer.push(chunk("dawn"));
    writer.push(AnswerPart::End);
    let rest = read(response).await.text;
    assert!(rest.contains("dawn") && rest.ends_with("data: [DONE]\n\n"));
    within_timeout(host.server.stopped())
        .await
        .expect("a clean end");
}
