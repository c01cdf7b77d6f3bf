//! The stand-in of a caller must not take a read that was interrupted for the end of
//! a connection. A read with a timeout is interrupted when its process was stopped.

use {
    stand_ins::platform::caller,
    std::io::{self, ErrorKind, Read},
};

/// Interrupts every other read.
struct Interrupted<'a> {
    bytes: &'a [u8],
    interrupts: bool,
}

impl Read for Interrupted<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.interrupts = !self.interrupts;

        if self.interrupts {
            Err(ErrorKind::Interrupted.into())
        } else {
            self.bytes.read(buffer)
        }
    }
}

macro_rules! responses {
    ($($name:ident: $text:expr => $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut stream = Interrupted { bytes: $text.as_bytes(), interrupts: false };
                let response = caller::read(&mut stream).expect("a response");
                assert!(response.complete);
                assert_eq!(response.body, $body);
            }
        )*
    };
}

responses! {
    interrupted_response_with_a_length_is_read:
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab" => "ab";
    interrupted_response_in_chunks_is_read:
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" => "a";
}
