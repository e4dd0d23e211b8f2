//! Changes one field of a document and leaves the rest of its text as it is.

use {
    crate::{error::Result, reader::Source},
    cowslip_decide::names::Name,
    std::collections::BTreeSet,
};

/// Returns the text with another list of withdrawn data centres, comments and layout kept.
///
/// # Errors
/// Names the line if the text is not TOML.
pub fn with_withdrawn(text: &str, names: &BTreeSet<Name>) -> Result<String> {
    let source = Source {
        file: "document".into(),
        text,
        fields: super::FIELDS,
    };
    let table = source.parse()?;
    let quoted: Vec<_> = names.iter().map(|name| format!("{name:?}")).collect();
    let list = format!("[{}]", quoted.join(", "));
    let value = table
        .get_ref()
        .iter()
        .find(|(key, _)| key.get_ref().as_ref() == "withdrawn")
        .map(|(_, value)| value.span());
    Ok(match value {
        Some(span) => format!("{}{list}{}", &text[..span.start], &text[span.end..]),
        None => format!("withdrawn = {list}\n{text}"),
    })
}
