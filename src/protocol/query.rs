//! Fields of a query string.

/// Returns a field of a query string, decoded.
pub fn field(query: &str, name: &str) -> Option<String> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| *field == name)?;
    Some(decode(value))
}

/// Decodes a value. A `%` without two digits stands for itself.
fn decode(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();

    while let [first, tail @ ..] = rest {
        let digits = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());

        match code.filter(|_| *first == b'%') {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }

    String::from_utf8_lossy(&bytes).into_owned()
}

#[cfg(test)]
mod tests {
    use {super::field, crate::protocol::object_api::percent_encode};

    /// Guards against paths whose characters end the field or change on the way.
    #[test]
    fn encoded_value_is_read_back() {
        let path = "/a b/%41?x=1&y=ü+";
        let query = format!("host=h&path={}", percent_encode(path));
        assert_eq!(field(&query, "path").as_deref(), Some(path));
        assert_eq!(field(&query, "team"), None);
        assert_eq!(field("path=%zz%4", "path").as_deref(), Some("%zz%4"));
    }
}
