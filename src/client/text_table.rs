//! Formats resources as an aligned text table.

use std::fmt;

use serde_json::Value;

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A table whose columns are aligned when it is printed.
#[derive(Debug, Default)]
pub struct TextTable {
    headers: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table of `resources` and their versions, with a column for each field.
    #[must_use]
    pub fn from_resources<'a>(resources: impl IntoIterator<Item = (u64, &'a Value)>) -> Self {
        let mut table = Self::default();
        for (version, resource) in resources {
            table.add(version, resource);
        }
        table
    }

    fn add(&mut self, version: u64, resource: &Value) {
        let mut cells = vec![("VERSION".to_owned(), version.to_string())];
        flatten("", resource, &mut cells);
        if self.headers.is_empty() {
            // The ID comes first and the version after the other fields, whatever their order.
            cells.sort_by_key(|(header, _)| (header != "ID", header == "VERSION"));
            self.headers = cells.iter().map(|(header, _)| header.clone()).collect();
        }
        for (header, _) in &cells {
            if !self.headers.contains(header) {
                self.headers.push(header.clone());
            }
        }
        let cell = |header: &String| {
            let found = cells.iter().find(|(name, _)| name == header);
            found.map_or_else(String::new, |(_, text)| text.clone())
        };
        self.rows.push(self.headers.iter().map(cell).collect());
    }
}

fn flatten(prefix: &str, value: &Value, cells: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, inner) in fields {
                let name = name.to_uppercase();
                let path = match prefix {
                    "" => name,
                    _ => format!("{prefix}.{name}"),
                };
                flatten(&path, inner, cells);
            }
        }
        Value::Array(items) => cells.push((prefix.to_owned(), list_text(items))),
        Value::String(text) => cells.push((prefix.to_owned(), text.clone())),
        other => cells.push((prefix.to_owned(), other.to_string())),
    }
}

fn list_text(items: &[Value]) -> String {
    let texts: Vec<String> = items
        .iter()
        .map(|item| {
            item.as_str()
                .map_or_else(|| item.to_string(), str::to_owned)
        })
        .collect();
    texts.join(",")
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.headers.len())
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.chain([&self.headers[column]]).map(String::len).max()
            })
            .map(Option::unwrap_or_default)
            .collect();
        for row in std::iter::once(&self.headers).chain(&self.rows) {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(formatter, "{}", cells.join(COLUMN_GAP).trim_end())?;
        }
        Ok(())
    }
}
