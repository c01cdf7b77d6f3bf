//! A limit on what an endpoint may send before the head of its response is complete.
//!
//! hyper limits the size of a head, but not the number of interim responses before
//! it, and reads those for as long as any arrive.

use {
    crate::transport::http::observed_stream::Observer,
    std::{cell::Cell, io, rc::Rc},
};

/// Maximum size of a response's head, in bytes. Endpoints send a dozen short fields.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum number of bytes up to the end of a head, with interim responses before it
/// and the part of the body that is read along with it.
const MAX_READ_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// The bytes read since a head is awaited on a connection; none if no head is.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Limits what is read from now on.
    pub fn begin(&self) {
        self.0.set(Some(0));
    }

    /// Ends the limit, once the head is complete.
    pub fn end(&self) {
        self.0.set(None);
    }
}

impl Observer for HeadLimit {
    fn before_read(&self) -> io::Result<()> {
        match self.0.get() {
            Some(MAX_READ_BYTES..) => Err(io::Error::other(format!(
                "no head of a response within {MAX_READ_BYTES} bytes"
            ))),
            _ => Ok(()),
        }
    }

    fn after_read(&self, bytes: usize) {
        self.0.set(self.0.get().map(|read| read + bytes));
    }
}
