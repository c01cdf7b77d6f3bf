//! Answers of endpoints that must not count as answers of the product's own calls.

use {
    persimmoncleat::transport::client::{Client, Failure, read_body},
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Size of an upload: more than the connection to the endpoint holds.
const UPLOAD_BYTES: usize = 12_000_000;

/// Starts an endpoint that writes a response after it has read the head and a part of
/// the body of a request, and closes the connection. If the rest is unread, that resets
/// it.
fn start_endpoint(response: &'static str, reads: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Fails if the client has closed the connection.
            drop(respond(stream, response, reads));
        }
    });
    address
}

fn respond(mut stream: TcpStream, response: &str, reads: usize) -> io::Result<()> {
    let mut reader = BufReader::with_capacity(64, stream.try_clone()?);
    let mut line = String::from("head");

    while !line.trim().is_empty() {
        line.clear();
        reader.read_line(&mut line)?;
    }

    io::copy(&mut reader.take(reads as u64), &mut io::sink())?;
    stream.write_all(response.as_bytes())
}

fn post(response: &'static str, reads: usize, length: usize) -> Result<Vec<u8>, Failure> {
    let address = start_endpoint(response, reads);
    let body = vec![b'x'; length];
    let response = Client::new().post(address, "/", &[], &body, TIMEOUT)?;
    read_body(address, TIMEOUT, response)
}

const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\na part of an answer";

const STATUS_000: &str = "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n";

macro_rules! answers {
    ($($(#[$doc:meta])* $name:ident: $response:expr, reads $reads:expr, of $length:expr
        => $is_answer:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let result = post($response, $reads, $length);
                assert_eq!(result.is_ok(), $is_answer, "{result:?}");
            }
        )*
    };
}

answers! {
    /// Guards against a part of an answer that counts as a whole one, since the
    /// connection is reset while the upload is written.
    answer_to_an_upload_that_is_reset_is_no_answer:
        WITHOUT_LENGTH, reads 0, of UPLOAD_BYTES => false;

    /// The same for a reset in the middle of the upload.
    answer_to_half_an_upload_is_no_answer:
        WITHOUT_LENGTH, reads UPLOAD_BYTES / 2, of UPLOAD_BYTES => false;

    /// Guards against answers that always fail here.
    answer_without_a_length_is_complete:
        WITHOUT_LENGTH, reads UPLOAD_BYTES, of UPLOAD_BYTES => true;

    /// Guards against a status that no answer has.
    answer_with_status_000_is_no_answer: STATUS_000, reads 2, of 2 => false;
}
