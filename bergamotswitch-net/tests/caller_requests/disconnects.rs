//! Tests of callers that disconnect before their answer is complete.

use bergamotswitch_core::entry::SubmitOutcome;
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};
use bergamotswitch_net::input::{NodeInput, SubmissionReply};

use crate::fake_loop::{
    FakeHost, chat, chunk, next_chunk, send, send_h2, spawn_call, stream_head, within_timeout,
};

async fn expect_caller_disconnected(host: &mut FakeHost) {
    match host.input().await {
        NodeInput::CallerDisconnected(id) => assert_eq!(id, host.id(1)),
        other => panic!("not a caller's disconnect: {other:?}"),
    }
}

#[tokio::test]
async fn while_waiting() {
    // Guards against runs for callers that disconnected while their request was
    // queued.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    for stream in [false, true] {
        let call = spawn_call(host.server.address(), chat(stream, &[]));
        let _writer = host.accept_next().await;
        call.abort();
        expect_caller_disconnected(&mut host).await;
    }
}

#[tokio::test]
async fn before_submission_reply() {
    // Guards against a disconnect that is not reported because it happens after
    // the submission and before the event loop has returned the id of the
    // request.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let call = spawn_call(host.server.address(), chat(false, &[]));
    let reply = host.submitted_reply().await;
    call.abort();
    // The server must have detected the end of the connection.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let received = SubmissionReply {
        outcome: SubmitOutcome::Accepted(host.id(1)),
        answer: Some(AnswerWriter::new().reader()),
    };
    reply.send(received).expect("a task that waits");
    expect_caller_disconnected(&mut host).await;
}

#[tokio::test]
async fn during_stream() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let response = tokio::spawn(send(host.server.address(), chat(true, &[])));
    let writer = host.accept_next().await;
    writer.push(stream_head());
    writer.push(chunk("At "));
    let mut response = response.await.expect("an answer");
    next_chunk(response.body_mut()).await;
    drop(response);
    expect_caller_disconnected(&mut host).await;
}

#[tokio::test]
async fn stream_reset() {
    // Over HTTP/2 a caller resets the stream of one request and keeps its
    // connection.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let address = host.server.address();
    let waiting = tokio::spawn(send_h2(address, chat(false, &[])));
    let _writer = host.accept_next().await;
    waiting.abort();
    expect_caller_disconnected(&mut host).await;

    let response = tokio::spawn(send_h2(address, chat(true, &[])));
    let writer = host.accept_next().await;
    writer.push(stream_head());
    writer.push(chunk("At "));
    let mut response = response.await.expect("an answer");
    next_chunk(response.body_mut()).await;
    drop(response);
    expect_caller_disconnected(&mut host).await;
}

#[tokio::test]
async fn after_complete_answer() {
    // A caller that has received the complete answer is not reported as
    // disconnected.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    for stream in [false, true] {
        let call = spawn_call(host.server.address(), chat(stream, &[]));
        let writer = host.accept_next().await;
        writer.push(stream_head());
        writer.push(chunk("dawn"));
        writer.push(AnswerPart::End);
        assert_eq!(call.await.expect("an answer").status, 200);
    }
    host.server.stop();
    within_timeout(host.server.stopped())
        .await
        .expect("a clean end");
    assert!(
        host.inbox.try_recv().is_err(),
        "unexpected input to the event loop"
    );
}
