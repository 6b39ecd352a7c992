//! Positions of entities in the text of a declaration file.

use std::collections::HashMap;

/// Line and column in a text, from 1; columns count bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TextPosition {
    pub(super) line: usize,
    pub(super) column: usize,
}

impl TextPosition {
    /// Returns the position of the byte at `index` in `text`.
    pub(super) fn of(text: &str, index: usize) -> Self {
        let before = &text.as_bytes()[..index];
        let line_start = before
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |newline| newline + 1);
        Self {
            line: before.iter().filter(|byte| **byte == b'\n').count() + 1,
            column: index - line_start + 1,
        }
    }
}

/// Positions at which the objects of each section begin, which the JSON parser does not report.
#[derive(Debug, Default)]
pub(super) struct SectionPositions {
    objects: HashMap<String, Vec<TextPosition>>,
}

impl SectionPositions {
    /// Scans a text that is known to be valid JSON: an object whose values are objects or arrays of objects.
    pub(super) fn scan(text: &str) -> Self {
        let mut positions = Self::default();
        let mut section = String::new();
        let mut depth = 0;
        let mut bytes = text.bytes().enumerate();
        while let Some((index, byte)) = bytes.next() {
            match byte {
                b'"' => {
                    let end = skip_string(&mut bytes);
                    if depth == 1 {
                        section = text[index + 1..end].into();
                    }
                }
                b'{' | b'[' => {
                    depth += 1;
                    let is_entity = byte == b'{' && (depth == 2 || depth == 3);
                    if is_entity && positions.is_entity_depth(&section, depth) {
                        let position = TextPosition::of(text, index);
                        let objects = positions.objects.entry(section.clone()).or_default();
                        objects.push(position);
                    }
                }
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        positions
    }

    /// Returns where object `index` of `section` begins; line 0 if there is no such object.
    pub(super) fn get(&self, section: &str, index: usize) -> TextPosition {
        let objects = self.objects.get(section);
        objects
            .and_then(|objects| objects.get(index))
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether entities of `section` are objects at `depth`: 2 for `policy`, which is an object itself, and 3
    /// for the sections that are arrays.
    fn is_entity_depth(&self, section: &str, depth: usize) -> bool {
        (section == "policy") == (depth == 2)
    }
}

/// Advances past the closing quote of a string and returns the index of that quote.
fn skip_string(bytes: &mut impl Iterator<Item = (usize, u8)>) -> usize {
    while let Some((index, byte)) = bytes.next() {
        match byte {
            b'\\' => {
                bytes.next();
            }
            b'"' => return index,
            _ => {}
        }
    }
    0
}
