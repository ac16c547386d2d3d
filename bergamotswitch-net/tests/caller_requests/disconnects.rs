//! Callers that go away.

use bergamotswitch_core::entry::SubmitOutcome;
use bergamotswitch_net::answer::{AnswerPart, AnswerWriter};
use bergamotswitch_net::input::{NodeInput, Received};

use crate::fake_loop::{
    FakeHost, chat, chunk, next_piece, send, send_h2, spawn_call, stream_head, within_timeout,
};

async fn expect_caller_left(host: &mut FakeHost) {
    match host.input().await {
        NodeInput::CallerLeft(id) => assert_eq!(id, host.id(1)),
        other => panic!("no leave: {other:?}"),
    }
}

#[tokio::test]
async fn while_waiting() {
    // Symptom: engines work for callers that are long gone.
    // Sequence: a caller's request waits for its permit; its connection closes.
    // Cause: nobody tells the loop.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    for stream in [false, true] {
        let call = spawn_call(host.server.address(), chat(stream, &[]));
        let _writer = host.accept_next().await;
        call.abort();
        expect_caller_left(&mut host).await;
    }
}

#[tokio::test]
async fn before_reception() {
    // Symptom: as above, but now and then only.
    // Sequence: the caller leaves after the submission and before the loop
    // says under which id it took the request.
    // Cause: the leave was bound to an id that was not known yet.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let call = spawn_call(host.server.address(), chat(false, &[]));
    let reply = host.submitted_reply().await;
    call.abort();
    // The server must have seen the end of the connection.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let received = Received {
        reception: SubmitOutcome::Accepted(host.id(1)),
        answer: Some(AnswerWriter::new().reader()),
    };
    reply.send(received).expect("a task that waits");
    expect_caller_left(&mut host).await;
}

#[tokio::test]
async fn during_stream() {
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let response = tokio::spawn(send(host.server.address(), chat(true, &[])));
    let writer = host.accept_next().await;
    writer.push(stream_head());
    writer.push(chunk("At "));
    let mut response = response.await.expect("an answer");
    next_piece(response.body_mut()).await;
    drop(response);
    expect_caller_left(&mut host).await;
}

#[tokio::test]
async fn stream_reset() {
    // Over HTTP/2 a caller leaves one request, not its connection.
    let mut host = FakeHost::ready("sanjuan-1", &[]);
    let address = host.server.address();
    let waiting = tokio::spawn(send_h2(address, chat(false, &[])));
    let _writer = host.accept_next().await;
    waiting.abort();
    expect_caller_left(&mut host).await;

    let response = tokio::spawn(send_h2(address, chat(true, &[])));
    let writer = host.accept_next().await;
    writer.push(stream_head());
    writer.push(chunk("At "));
    let mut response = response.await.expect("an answer");
    next_piece(response.body_mut()).await;
    drop(response);
    expect_caller_left(&mut host).await;
}

#[tokio::test]
async fn after_complete_answer() {
    // Who has the whole answer has not left.
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
    assert!(host.inbox.try_recv().is_err(), "nothing more was told");
}
