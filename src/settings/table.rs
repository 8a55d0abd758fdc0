//! The table of settings in the docs, made from their JSON schema.

/// One key of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingRow {
    /// The key with the keys above it.
    pub key: String,
    /// Type of its value.
    pub kind: String,
    /// Default, or `required`.
    pub default: String,
    /// Meaning.
    pub meaning: String,
}

/// All keys of a schema, in its order.
pub fn rows(schema: &serde_json::Value) -> Vec<SettingRow> {
    let mut rows = Vec::new();
    walk(schema, schema, "", None, &mut rows);
    rows
}

/// The keys of a schema as a table in Markdown.
pub fn markdown(schema: &serde_json::Value) -> String {
    let mut text = String::from("| key | type | default | meaning |\n| --- | --- | --- | --- |\n");
    for row in rows(schema) {
        let line = format!(
            "| `{}` | {} | {} | {} |\n",
            row.key, row.kind, row.default, row.meaning
        );
        text.push_str(&line);
    }
    text
}

fn resolve<'a>(root: &'a serde_json::Value, node: &'a serde_json::Value) -> &'a serde_json::Value {
    let named = node["$ref"]
        .as_str()
        .and_then(|r| r.strip_prefix("#/$defs/"));
    if let Some(name) = named {
        return &root["$defs"][name];
    }
    // An optional value is a choice of itself and null.
    let choices = node["anyOf"].as_array().into_iter().flatten();
    let mut named = choices.filter(|c| c["type"] != "null");
    match named.next() {
        Some(choice) => resolve(root, choice),
        None => node,
    }
}

fn walk(
    root: &serde_json::Value,
    node: &serde_json::Value,
    prefix: &str,
    defaults: Option<&serde_json::Value>,
    rows: &mut Vec<SettingRow>,
) {
    let node = resolve(root, node);
    for variant in node["oneOf"].as_array().into_iter().flatten() {
        walk(root, variant, prefix, defaults, rows);
    }
    let required = node["required"].as_array();
    for (name, property) in node["properties"].as_object().into_iter().flatten() {
        let key = match prefix {
            "" => name.clone(),
            _ => format!("{prefix}.{name}"),
        };
        let above = defaults.and_then(|d| d.get(name));
        let default = property.get("default").or(above);
        let target = resolve(root, property);
        if target["properties"].is_object() {
            walk(root, target, &key, default, rows);
            continue;
        }
        let needed = required.is_some_and(|r| r.iter().any(|n| n == name));
        let text = |value: &serde_json::Value| value["description"].as_str().map(first_line);
        rows.push(SettingRow {
            key,
            kind: kind_of(target),
            default: match default {
                Some(default) => format!("`{default}`"),
                None if needed => "required".into(),
                None => "none".into(),
            },
            meaning: text(property).or_else(|| text(target)).unwrap_or_default(),
        });
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

fn kind_of(node: &serde_json::Value) -> String {
    if let Some(choices) = node["oneOf"].as_array() {
        let names = choices.iter().filter_map(|c| c["const"].as_str());
        return names.collect::<Vec<_>>().join(", ");
    }
    match &node["type"] {
        serde_json::Value::String(kind) => kind.clone(),
        serde_json::Value::Array(kinds) => {
            let kinds = kinds
                .iter()
                .filter_map(|k| k.as_str())
                .filter(|k| *k != "null");
            kinds.collect::<Vec<_>>().join(", ")
        }
        _ => node["const"].as_str().unwrap_or("any").to_owned(),
    }
}
