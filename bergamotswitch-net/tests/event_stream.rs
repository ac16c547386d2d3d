//! Tests of the parser of server-sent events.

use bergamotswitch_net::target_client::event_stream::{
    EventParser, EventTooLarge, MAX_EVENT_BYTES, ServerEvent,
};
use bytes::Bytes;

fn read_all(chunks: &[&[u8]]) -> Result<Vec<ServerEvent>, EventTooLarge> {
    let mut parser = EventParser::new();
    let mut events = Vec::new();
    for chunk in chunks {
        parser.feed(chunk);
        while let Some(event) = parser.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

fn event(id: Option<u64>, data: &'static str) -> ServerEvent {
    let data = Bytes::from_static(data.as_bytes());
    ServerEvent { id, data }
}

#[test]
fn event_fields() {
    let text = b": hello\n\nid: 1\ndata: {\"a\":1}\n\nid:x\r\ndata:one\r\ndata: two\r\n\r\n\
        event: ping\n\ndata\n\nid: 3\ndata: cut off";
    let expected = vec![
        event(Some(1), "{\"a\":1}"),
        event(None, "one\ntwo"),
        event(None, ""),
    ];
    assert_eq!(read_all(&[text]), Ok(expected));
}

#[test]
fn any_chunking() {
    // Events must not depend on how the network splits the body into chunks,
    // even within a line ending.
    let lines: [&[u8]; 6] = [b"id: 7", b"data: x", b"data: y", b"", b":c", b"data:"];
    bergamotswitch_draw::for_each::<(Vec<(u8, bool)>, Vec<u8>)>(2_000, |(choices, cuts)| {
        let mut body = Vec::new();
        for (choice, with_return) in choices {
            body.extend_from_slice(lines[usize::from(*choice) % lines.len()]);
            body.extend_from_slice(if *with_return { b"\r\n" } else { b"\n" });
        }
        let mut chunks = Vec::new();
        let mut rest = body.as_slice();
        for cut in cuts {
            let (chunk, after) = rest.split_at(usize::from(*cut).min(rest.len()));
            chunks.push(chunk);
            rest = after;
        }
        chunks.push(rest);
        assert_eq!(read_all(&chunks), read_all(&[&body]));
    });
}

#[test]
fn endless_event() {
    // A target that never ends an event, by one long line or by many short
    // ones, must not exhaust the host's memory.
    let chunk = vec![b'x'; 64 * 1024];
    let long_line: Vec<&[u8]> = vec![&chunk; MAX_EVENT_BYTES / chunk.len() + 1];
    assert_eq!(read_all(&long_line), Err(EventTooLarge));
    let line: &[u8] = b"data: 0123456789\n";
    let many_lines = vec![line; MAX_EVENT_BYTES / 10];
    assert_eq!(read_all(&many_lines), Err(EventTooLarge));
}
