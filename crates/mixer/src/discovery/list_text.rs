//! The text of a list as it arrives, in pieces that end anywhere.

/// The text of a list as it arrives: one line, or several if the value is indented.
#[derive(Default)]
pub(super) struct ListText {
    pub(super) bytes: Vec<u8>,
    /// Number of open brackets.
    depth: usize,
    in_string: bool,
    after_backslash: bool,
    /// The length at which the text was last parsed.
    parsed_length: usize,
}

impl ListText {
    /// Adds a byte. Returns the text at the end of a line if it is a complete value, empty, or invalid.
    pub(super) fn push(&mut self, byte: u8) -> Option<Vec<u8>> {
        self.bytes.push(byte);
        match byte {
            b'\n' if self.depth == 0 || self.is_invalid() => return Some(self.take()),
            _ if self.after_backslash => self.after_backslash = false,
            b'\\' => self.after_backslash = self.in_string,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        None
    }

    /// Whether the text is invalid, whatever follows. As lists are long, the text is parsed again only once its
    /// length has doubled.
    fn is_invalid(&mut self) -> bool {
        if self.bytes.len() < 2 * self.parsed_length {
            return false;
        }
        self.parsed_length = self.bytes.len();
        serde_json::from_slice::<serde_json::Value>(&self.bytes).is_err_and(|error| !error.is_eof())
    }

    pub(super) fn has_begun(&self) -> bool {
        !self.bytes.iter().all(u8::is_ascii_whitespace)
    }

    pub(super) fn take(&mut self) -> Vec<u8> {
        std::mem::take(self).bytes
    }
}
