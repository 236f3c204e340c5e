//! Fields of a resource as they are typed on the command line.

use quick_error::quick_error;
use serde_json::{Map, Value};

quick_error! {
    /// A field that is not understood.
    #[derive(Debug, PartialEq, Eq)]
    pub enum FieldError {
        /// No name or no value.
        Syntax(text: String) {
            display("field '{text}' is not understood; write it like 'slots=3' or 'weights.lookup=10'")
        }
        /// The value must be a number.
        Number(name: String, value: String) {
            display("field '{name}' has value '{value}'; use a whole number")
        }
        /// The field has parts, or has none.
        Nesting(name: String) {
            display("field '{name}' cannot be set like that; compare with 'wagtailtrack get --json'")
        }
    }
}

/// Sets each of `fields`, written like `slots=3`, in `resource`.
///
/// # Errors
/// `FieldError` names the field and the remedy.
pub fn merge_fields(resource: &mut Value, fields: &[String]) -> Result<(), FieldError> {
    for field in fields {
        let (name, value) = field
            .split_once('=')
            .filter(|(name, _)| !name.is_empty())
            .ok_or_else(|| FieldError::Syntax(field.clone()))?;
        set_field(resource, name, typed_value(name, value)?)?;
    }
    Ok(())
}

fn typed_value(name: &str, value: &str) -> Result<Value, FieldError> {
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
    // The access of a route is a word or an object.
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
