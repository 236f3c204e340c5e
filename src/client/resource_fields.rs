//! Parses resource fields given on the command line as `name=value`.

use quick_error::quick_error;
use serde_json::{Map, Value};

quick_error! {
    /// A field that does not parse or cannot be set.
    #[derive(Debug, PartialEq, Eq)]
    pub enum FieldError {
        /// The text has no `=` or no name before it.
        Syntax(text: String) {
            display("field '{text}' is not understood; write it like 'slots=3' or 'weights.lookup=10'")
        }
        /// The value of a numeric field is not a whole number from 0 to 2^32 - 1.
        Number(name: String, value: String) {
            display("field '{name}' has value '{value}'; use a whole number")
        }
        /// The resource or the parent of a nested field is not a JSON object.
        Nesting(name: String) {
            display("field '{name}' cannot be set: its parent is not an object; compare with 'wagtailtrack get --json'")
        }
    }
}

/// Sets each of `fields`, written like `slots=3` or `weights.lookup=10`, in the object `resource`.
///
/// # Errors
/// Returns `FieldError` for the first field that does not parse or cannot be set.
pub fn merge_fields(resource: &mut Value, fields: &[String]) -> Result<(), FieldError> {
    for field in fields {
        let (name, value) = field
            .split_once('=')
            .filter(|(name, _)| !name.is_empty())
            .ok_or_else(|| FieldError::Syntax(field.clone()))?;
        set_field(resource, name, parse_value(name, value)?)?;
    }
    Ok(())
}

fn parse_value(name: &str, value: &str) -> Result<Value, FieldError> {
    if name == "access.accounts" {
        let names = value.split(',').filter(|name| !name.is_empty());
        return Ok(names.map(Value::from).collect());
    }
    if matches!(name, "slots" | "burst") || name.starts_with("weights.") {
        return value
            .parse::<u32>()
            .map(Value::from)
            .map_err(|_| FieldError::Number(name.to_owned(), value.to_owned()));
    }
    Ok(value.into())
}

fn set_field(resource: &mut Value, name: &str, value: Value) -> Result<(), FieldError> {
    let nesting = || FieldError::Nesting(name.to_owned());
    let object = resource.as_object_mut().ok_or_else(nesting)?;
    let Some((outer, inner)) = name.split_once('.') else {
        object.insert(name.to_owned(), value);
        return Ok(());
    };
    let nested = object.entry(outer).or_insert_with(empty_object);
    // The access of a route is a string or an object.
    if !nested.is_object() {
        *nested = empty_object();
    }
    let nested = nested.as_object_mut().ok_or_else(nesting)?;
    nested.insert(inner.to_owned(), value);
    Ok(())
}

fn empty_object() -> Value {
    Value::Object(Map::new())
}
