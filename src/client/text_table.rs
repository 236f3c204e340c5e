//! A plain table for people.

use std::fmt;

use serde_json::Value;

const GAP: &str = "  ";

/// Rows of columns, aligned when printed.
#[derive(Debug, Default)]
pub struct TextTable {
    heads: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// The table of `resources` with their versions; its columns are their fields.
    #[must_use]
    pub fn of_resources<'a>(resources: impl IntoIterator<Item = (u64, &'a Value)>) -> Self {
        let mut table = Self::default();
        for (version, resource) in resources {
            table.add(version, resource);
        }
        table
    }

    fn add(&mut self, version: u64, resource: &Value) {
        let mut cells = vec![("VERSION".to_owned(), version.to_string())];
        flatten("", resource, &mut cells);
        if self.heads.is_empty() {
            // The name comes first, whatever the order of the fields.
            cells.sort_by_key(|(head, _)| (head != "ID", head == "VERSION"));
            self.heads = cells.iter().map(|(head, _)| head.clone()).collect();
        }
        for (head, _) in &cells {
            if !self.heads.contains(head) {
                self.heads.push(head.clone());
            }
        }
        let cell = |head: &String| {
            let found = cells.iter().find(|(name, _)| name == head);
            found.map_or_else(String::new, |(_, text)| text.clone())
        };
        self.rows.push(self.heads.iter().map(cell).collect());
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
        let widths: Vec<usize> = (0..self.heads.len())
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.chain([&self.heads[column]]).map(String::len).max()
            })
            .map(Option::unwrap_or_default)
            .collect();
        for row in std::iter::once(&self.heads).chain(&self.rows) {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(formatter, "{}", cells.join(GAP).trim_end())?;
        }
        Ok(())
    }
}
