//! Compares the committed Cap'n Proto code with its schema, without running the
//! generator. Guards against a changed schema that is merged without its code.

use {
    sha2::{Digest, Sha256},
    std::collections::BTreeMap,
};

const GENERATED: &str = include_str!("../src/transport/peer_capnp.rs");
const SCHEMA: &str = include_str!("../schema/peer.capnp");

/// Converts camel case to snake case.
fn to_snake_case(name: &str) -> String {
    let mut snake = String::new();

    for (index, letter) in name.char_indices() {
        if letter.is_uppercase() && index > 0 {
            snake.push('_');
        }
        snake.extend(letter.to_lowercase());
    }

    snake
}

/// Returns the body of every `struct`, `enum` and `interface` by kind and name.
fn blocks() -> BTreeMap<(&'static str, &'static str), &'static str> {
    SCHEMA
        .split("\n}")
        .filter_map(|block| {
            let (head, body) = block.split_once(" {")?;
            let mut words = head.lines().last()?.split(' ');
            Some(((words.next()?, words.next()?), body))
        })
        .collect()
}

/// Returns the names before each `@` and before each `:` of a line.
fn names(line: &str) -> impl Iterator<Item = &str> {
    line.split('#')
        .next()
        .unwrap_or_default()
        .split(['(', ',', ')'])
        .filter_map(|part| part.split_whitespace().next())
        .filter(|name| name.starts_with(char::is_alphabetic))
}

fn assert_generated(code: &str) {
    assert!(
        GENERATED.contains(code),
        "{code:?} is missing; run schema/generate"
    );
}

#[test]
fn generated_code_contains_the_digest_of_the_schema() {
    let digest = Sha256::digest(SCHEMA);
    assert_generated(&format!("// {digest:x}\n"));
}

#[test]
fn generated_code_contains_every_name_of_the_schema() {
    let blocks = blocks();
    assert_eq!(blocks.len(), 18, "{blocks:?}");

    for ((kind, name), body) in blocks {
        let fields = body.lines().filter(|line| line.contains('@'));

        match kind {
            "enum" => {
                assert_generated(&format!("pub enum {name} {{"));
                for field in fields.flat_map(names) {
                    let (first, rest) = field.split_at(1);
                    assert_generated(&format!("{}{rest} = ", first.to_uppercase()));
                }
            }
            "struct" => {
                assert_generated(&format!("pub mod {} {{", to_snake_case(name)));
                for field in fields.filter_map(|line| names(line).next()) {
                    assert_generated(&format!("fn get_{}(", to_snake_case(field)));
                }
            }
            _ => {
                assert_generated(&format!("pub mod {} {{", to_snake_case(name)));
                for line in fields {
                    // The element type of a list is not a parameter.
                    let line = line.replace("List(", "");
                    let mut names = names(&line).filter(|name| *name != "->");
                    let method = names.next().unwrap();
                    assert_generated(&format!("fn {}_request(", to_snake_case(method)));
                    for field in names {
                        assert_generated(&format!("fn get_{}(", to_snake_case(field)));
                    }
                }
            }
        }
    }
}
