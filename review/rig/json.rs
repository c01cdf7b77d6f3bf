//! A small JSON reader and writer, enough for the messages of the pages.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// The text of a number, unchanged.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        self.text().parse().unwrap_or(0.0)
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn render(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Number(text) => text.clone(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::render).collect();
                format!("[{}]", items.join(","))
            }
            Json::Table(fields) => {
                let fields = fields.iter();
                let fields: Vec<String> =
                    fields.map(|(name, value)| format!("{}:{}", quote(name), value.render())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.bytes.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.take(b'[')?;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(items));
                    }
                    self.take(b',')?;
                }
            }
            b'{' => {
                self.take(b'{')?;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b'}').is_some() {
                        return Some(Json::Table(fields));
                    }
                    self.take(b',')?;
                }
            }
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Number(text.into()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('\u{fffd}');
                            out.extend(character.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
