//! The replies of workers, and those of faulty ones.

use {
    super::{Endless, Fault},
    crate::http::{Flow, Reply},
    serde_json::Value,
    std::{io::Write, thread, time::Duration},
};

pub(super) fn mark(reply: Reply, header: &str) -> Reply {
    Reply::Marked {
        header: header.into(),
        reply: Box::new(reply),
    }
}

pub(super) fn refuse(status: &str) -> Reply {
    let text = format!("HTTP/1.1 {status}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    raw_reply(text.into_bytes(), Flow::Keep)
}

pub(super) fn refuse_for(seconds: &str) -> Reply {
    mark(
        refuse("503 Service Unavailable"),
        &format!("Retry-After: {seconds}"),
    )
}

/// Writes a refusal, and writes it again as the answer to the next request on the
/// connection.
pub(super) fn refuse_twice() -> Reply {
    let refusal =
        b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    written_twice(refusal.to_vec())
}

/// Writes a JSON body with status 200, and writes it again as the answer to the next
/// request on the connection.
pub(super) fn answer_twice(body: &Value) -> Reply {
    let body = body.to_string();
    let length = body.len();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    written_twice(text.into_bytes())
}

fn written_twice(response: Vec<u8>) -> Reply {
    /// Time in which a client uses the connection for its next request.
    const NEXT_REQUEST_TIME: Duration = Duration::from_millis(150);

    Reply::Written(Box::new(move |writer: &mut dyn Write| {
        writer.write_all(&response)?;
        writer.flush()?;
        thread::sleep(NEXT_REQUEST_TIME);
        writer.write_all(&response)?;
        Ok(Flow::Keep)
    }))
}

/// Answers a request. The body is padded with spaces to `length` bytes.
pub(super) fn plain_reply(attempt: &str, length: usize, fault: Option<Fault>) -> Reply {
    let mut body = format!("answer to {attempt}");
    body.extend(std::iter::repeat_n(' ', length.saturating_sub(body.len())));
    let response = |attempt: &str, proof: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{proof}Content-Length: {length}\
            \r\n\r\n{body}"
        )
    };
    let complete = response(attempt, "X-Server-Stamp: proof\r\n");

    match fault {
        Some(Fault::AnswerLost) => Reply::Close,
        Some(Fault::HeadCut) => {
            let (head, _) = complete.split_at(complete.len() / 2);
            raw_reply(head.as_bytes().to_vec(), Flow::Close)
        }
        Some(Fault::Extra) => raw_reply(
            [complete.as_bytes(), complete.as_bytes()].concat(),
            Flow::Keep,
        ),
        Some(Fault::Other) => {
            let other = response("of-another-request", "X-Server-Stamp: proof\r\n");
            raw_reply(other.into_bytes(), Flow::Keep)
        }
        Some(Fault::Status(status)) => failure(status, attempt),
        Some(Fault::Unproven) => raw_reply(response(attempt, "").into_bytes(), Flow::Keep),
        _ => raw_reply(complete.into_bytes(), Flow::Keep),
    }
}

/// Returns the failure of a request that ran.
pub(super) fn failure(status: &str, attempt: &str) -> Reply {
    let text = format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: proof\r\n\
        Content-Length: 0\r\n\r\n"
    );
    raw_reply(text.into_bytes(), Flow::Keep)
}

pub(super) fn raw_reply(bytes: Vec<u8>, flow: Flow) -> Reply {
    Reply::Written(Box::new(move |writer: &mut dyn Write| {
        writer.write_all(&bytes)?;
        Ok(flow)
    }))
}

/// Writes a part of a response until the caller closes the connection.
pub(super) fn endless(part: Endless, attempt: &str) -> Reply {
    /// Pause between two writes, which leaves processor time for the others.
    const PAUSE: Duration = Duration::from_millis(5);

    let ok = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n");
    let proven = format!("{ok}X-Server-Stamp: proof\r\n");
    let filler = "x".repeat(64 * 1024);
    let (start, repeated) = match part {
        Endless::Body => (format!("{proven}\r\n"), filler),
        Endless::Chunks => (
            format!("{ok}Transfer-Encoding: chunked\r\n\r\n"),
            format!("{:x}\r\n{filler}\r\n", filler.len()),
        ),
        Endless::Event => (
            format!("{proven}Content-Type: text/event-stream\r\n\r\nid: 0\ndata: "),
            filler,
        ),
        Endless::Head => (format!("{ok}X-Filler: "), filler),
        Endless::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(400)),
    };

    Reply::Written(Box::new(move |writer: &mut dyn Write| {
        writer.write_all(start.as_bytes())?;

        loop {
            writer.write_all(repeated.as_bytes())?;
            writer.flush()?;
            thread::sleep(PAUSE);
        }
    }))
}
