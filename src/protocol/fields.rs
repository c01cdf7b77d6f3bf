//! Reads typed fields from INI text and collects all faults.

use {
    crate::state::fault::Fault,
    ini::Ini,
    std::{collections::BTreeMap, str::FromStr},
};

/// The fields of a text and the faults found in it so far.
#[derive(Debug)]
pub struct Fields {
    faults: Vec<Fault>,
    values: BTreeMap<(String, String), String>,
}

impl Fields {
    /// Parses a text. Sections and keys that are not `known` are faults.
    ///
    /// # Errors
    ///
    /// Returns a fault if the text is not valid INI.
    pub fn parse(text: &str, known: &[(&str, &[&str])]) -> Result<Self, Vec<Fault>> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            vec![Fault {
                field: format!("line {}", error.line + 1),
                value: error.msg.into_owned(),
                expected: "a [section], a key = value pair, or a comment".into(),
            }]
        })?;
        let mut fields = Self {
            faults: Vec::new(),
            values: BTreeMap::new(),
        };

        for (section, properties) in &ini {
            let section = section.unwrap_or("");

            for (key, value) in properties {
                fields.add(known, section, key, value);
            }
        }

        Ok(fields)
    }

    /// Returns the faults found.
    pub fn faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Adds a fault of a field.
    pub fn add_fault(&mut self, section: &str, key: &str, value: &str, expected: &str) {
        self.faults.push(Fault::new(section, key, value, expected));
    }

    /// Returns a mandatory field. Its absence is a fault.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        if self.value(section, key).is_none() {
            self.add_fault(section, key, "", expected);
        }

        self.optional(section, key, expected)
    }

    /// Returns a field that may be absent.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let value = self.value(section, key)?;
        let parsed = value.parse().ok();

        if parsed.is_none() {
            self.add_fault(section, key, &value, expected);
        }

        parsed
    }

    /// Returns the items of a comma-separated list, empty if it is absent.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        let value = self.value(section, key).unwrap_or_default();
        let mut items = Vec::new();

        for item in value.split(',').map(str::trim).filter(|s| !s.is_empty()) {
            match item.parse() {
                Ok(item) => items.push(item),
                Err(_) => self.add_fault(section, key, item, expected),
            }
        }

        items
    }

    /// Returns a whole number from `min` to `max`. Any other value is a fault.
    pub fn number(&mut self, section: &str, key: &str, min: u64, max: u64) -> Option<u64> {
        let expected = format!("a whole number from {min} to {max}");
        let number = self.optional(section, key, &expected)?;

        if !(min..=max).contains(&number) {
            self.add_fault(section, key, &number.to_string(), &expected);
            return None;
        }

        Some(number)
    }

    fn add(&mut self, known: &[(&str, &[&str])], section: &str, key: &str, value: &str) {
        // The parser continues a section name without ']' in the next lines.
        if let Some((line, _)) = section.split_once('\n') {
            let expected = "']' after the section's name";
            self.add_fault(line, "", line, expected);
            return;
        }

        // The parser joins a line without '=' to the key in the next line.
        if let Some((line, _)) = key.split_once('\n') {
            self.add_fault(section, line, "", "a key = value pair");
            return;
        }

        let Some((_, keys)) = known.iter().find(|(name, _)| *name == section) else {
            let names = known.iter().map(|(name, _)| *name);
            let expected = format!(
                "a key in a known section, nearest is [{}]",
                nearest(section, names)
            );
            self.add_fault(section, key, value, &expected);
            return;
        };

        if !keys.contains(&key) {
            let expected = format!(
                "a known key, nearest is {}",
                nearest(key, keys.iter().copied())
            );
            self.add_fault(section, key, value, &expected);
            return;
        }

        let field = (section.to_string(), key.to_string());

        if self.values.insert(field, value.to_string()).is_some() {
            self.add_fault(section, key, value, "the key once only");
        }
    }

    fn value(&self, section: &str, key: &str) -> Option<String> {
        self.values
            .get(&(section.to_string(), key.to_string()))
            .cloned()
    }
}

fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> &'a str {
    known
        .max_by(|a, b| strsim::jaro_winkler(name, a).total_cmp(&strsim::jaro_winkler(name, b)))
        .unwrap_or_default()
}
