//! A caller's HTTP connection: reads requests within time limits and writes
//! responses.

use {
    crate::{
        state::clock::Time,
        transport::{
            boot_clock,
            head::Head,
            server::{Fault, Handler, InFlight, Limits, Slot},
        },
    },
    rouille::{Request, Response},
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Maximum time that a connection may be idle before its second and later
/// requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for each step of a refusal: reading the head, writing the
/// response, and reading the rest of the request, so that the caller can read
/// the response before the connection is reset.
const LINGER: Duration = Duration::from_secs(1);

/// Size in bytes of the buffers for chunks of a response and for the rest of a
/// refused request.
const BUFFER_BYTES: usize = 16 * 1024;

/// Serves requests until the caller closes the connection or a request is
/// refused.
pub fn serve(stream: TcpStream, limits: &Limits, handler: &impl Handler, in_flight: &InFlight) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(limits.read_timeout));
    let Ok(caller) = stream.peer_addr() else {
        return;
    };
    let deadline = boot_clock::now() + limits.read_timeout;
    let mut reader = BufReader::new(DeadlineStream { deadline, stream });

    while matches!(reader.fill_buf(), Ok([_, ..])) {
        reader.get_mut().deadline = boot_clock::now() + limits.read_timeout;

        match read(&mut reader, limits, caller, in_flight) {
            Ok(Some((head, request, _slot))) => {
                let written = in_flight.track(|| {
                    let response = handler.handle(&request);
                    write(&reader.get_ref().stream, response, &head)
                });

                if written.is_err() || !head.keep_alive {
                    return;
                }

                reader.get_mut().deadline = boot_clock::now() + IDLE_TIMEOUT;
            }
            Ok(None) => return,
            Err((fault, head)) => {
                let fault = or_read_timeout(reader.get_ref(), limits, fault);
                let stream = reader.into_inner().stream;
                refuse(stream, handler, &fault, head.as_ref());
                return;
            }
        }
    }
}

/// Refuses a connection above the limit. The head of its request is read first,
/// because the response depends on whether the request has a ticket.
pub fn refuse_connection(stream: TcpStream, limits: &Limits, handler: &impl Handler) {
    let deadline = boot_clock::now() + LINGER;
    let mut reader = BufReader::new(DeadlineStream { deadline, stream });
    let head = Head::read(&mut reader, limits.header_bytes).ok().flatten();
    let limit = limits.connections;
    let stream = reader.into_inner().stream;
    refuse(
        stream,
        handler,
        &Fault::Connections { limit },
        head.as_ref(),
    );
}

/// Writes a refusal to a connection and closes it.
pub fn refuse(
    stream: TcpStream,
    handler: &impl Handler,
    fault: &Fault,
    refused_head: Option<&Head>,
) {
    let _ = stream.set_write_timeout(Some(LINGER));
    let head = Head {
        headers: Vec::new(),
        keep_alive: false,
        method: String::new(),
        is_http_1_1: true,
        target: String::new(),
    };

    if write(&stream, handler.refuse(fault, refused_head), &head).is_err() {
        return;
    }

    let _ = stream.shutdown(Shutdown::Write);
    let deadline = boot_clock::now() + LINGER;
    let mut source = DeadlineStream { deadline, stream };
    let mut buffer = vec![0; BUFFER_BYTES];
    while matches!(source.read(&mut buffer), Ok(1..)) {}
}

/// Reads from a socket until a deadline.
struct DeadlineStream {
    deadline: Time,
    stream: TcpStream,
}

impl DeadlineStream {
    fn remaining(&self) -> Duration {
        self.deadline.since(boot_clock::now())
    }
}

impl Read for DeadlineStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let remaining = self.remaining();

        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }

        self.stream.set_read_timeout(Some(remaining))?;
        self.stream.read(buffer)
    }
}

fn or_read_timeout(source: &DeadlineStream, limits: &Limits, fault: Fault) -> Fault {
    match fault {
        Fault::Invalid { .. } if source.remaining().is_zero() => Fault::ReadTimeout {
            limit: limits.read_timeout,
        },
        fault => fault,
    }
}

type Refusal = (Fault, Option<Head>);

fn read(
    reader: &mut BufReader<DeadlineStream>,
    limits: &Limits,
    caller: SocketAddr,
    in_flight: &InFlight,
) -> Result<Option<(Head, Request, Slot)>, Refusal> {
    let head = Head::read(reader, limits.header_bytes).map_err(|fault| (fault, None))?;
    let Some(head) = head else {
        return Ok(None);
    };

    match read_body(reader, limits.body_bytes, &head, in_flight) {
        Ok((body, slot)) => {
            let Head {
                headers,
                method,
                target,
                ..
            } = head.clone();
            let request = Request::fake_http_from(caller, method, target, headers, body);
            Ok(Some((head, request, slot)))
        }
        Err(fault) => Err((fault, Some(head))),
    }
}

fn read_body(
    reader: &mut BufReader<DeadlineStream>,
    limit: usize,
    head: &Head,
    in_flight: &InFlight,
) -> Result<(Vec<u8>, Slot), Fault> {
    let bytes = head.body_bytes()?;
    let slot = match usize::try_from(bytes) {
        Ok(bytes) if bytes <= limit => in_flight.reserve_body(bytes)?,
        _ => return Err(Fault::Body { bytes, limit }),
    };

    if head.header("expect").is_some() {
        let _ = (&reader.get_ref().stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    let mut body = Vec::new();
    let read = reader.take(bytes).read_to_end(&mut body);

    if read.is_err() || u64::try_from(body.len()) != Ok(bytes) {
        return Err(Fault::Invalid {
            detail: format!("the body broke off after {} of {bytes} bytes", body.len()),
        });
    }

    Ok((body, slot))
}

fn write(stream: &TcpStream, response: Response, head: &Head) -> io::Result<()> {
    let mut stream = stream;
    let (mut body, length) = response.data.into_reader_and_size();
    let chunked = length.is_none() && head.is_http_1_1;
    let mut text = format!("HTTP/1.1 {} \r\n", response.status_code);

    for (name, value) in &response.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }

    match length {
        Some(length) => text.push_str(&format!("Content-Length: {length}\r\n")),
        None if chunked => text.push_str("Transfer-Encoding: chunked\r\n"),
        None => {}
    }

    if !head.keep_alive {
        text.push_str("Connection: close\r\n");
    }

    text.push_str("\r\n");

    if chunked {
        stream.write_all(text.as_bytes())?;
        return write_chunks(stream, &mut body);
    }

    let mut bytes = text.into_bytes();
    body.read_to_end(&mut bytes)?;
    stream.write_all(&bytes)
}

/// Writes a body in chunks, each as soon as the body yields it.
fn write_chunks(mut stream: &TcpStream, body: &mut impl Read) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];

    loop {
        let read = body.read(&mut buffer)?;
        let mut chunk = format!("{read:x}\r\n").into_bytes();
        chunk.extend_from_slice(&buffer[..read]);
        chunk.extend_from_slice(b"\r\n");
        stream.write_all(&chunk)?;

        if read == 0 {
            return Ok(());
        }
    }
}
