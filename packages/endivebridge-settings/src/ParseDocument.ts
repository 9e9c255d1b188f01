import { Result, Schema, SchemaIssue } from "effect";
import {
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode
} from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";
import { checkConfiguration } from "./CheckConfiguration";
import { Configuration, type ConfigurationDocument } from "./Configuration";
import type { DocumentFault } from "./DocumentFault";
import { type InstanceSettings, Settings } from "./Settings";

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

function lineAtOffset(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}

function syntaxFault(text: string, error: ParseError): DocumentFault {
    return {
        line: lineAtOffset(text, error.offset),
        path: "(syntax)",
        expected: "JSON with comments",
        found: printParseErrorCode(error.error)
    };
}

function describeNodeValue(node: Node | undefined): string {
    if (node === undefined) {
        return "nothing";
    }
    const json = JSON.stringify(getNodeValue(node)) ?? "nothing";
    return json.length > 60 ? `${json.slice(0, 57)}...` : json;
}

function nearestExistingNode(tree: Node, path: readonly (string | number)[]): Node {
    for (let length = path.length; length > 0; length -= 1) {
        const node = findNodeAtLocation(tree, path.slice(0, length) as (string | number)[]);
        if (node !== undefined) {
            return node;
        }
    }
    return tree;
}

function faultAtPath(text: string, tree: Node, path: readonly (string | number)[], message: string): DocumentFault {
    const exactNode = path.length === 0 ? tree : findNodeAtLocation(tree, [...path]);
    return {
        line: lineAtOffset(text, nearestExistingNode(tree, path).offset),
        path: path.length === 0 ? "(document)" : path.join("."),
        expected: message === "Missing key" ? "a value" : message.replace(/^Expected /, ""),
        found: describeNodeValue(exactNode)
    };
}

/** Parses JSON with comments and validates it against a schema; returns all faults together. */
export function parseDocument<Value>(
    schema: Schema.Codec<Value, unknown>,
    text: string
): Either<readonly DocumentFault[], Value> {
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    if (tree === undefined || errors.length > 0) {
        const faults = errors.map(error => syntaxFault(text, error));
        return Left(
            faults.length > 0 ? faults : [{ line: 1, path: "(document)", expected: "an object", found: "nothing" }]
        );
    }
    const decoded = Schema.decodeUnknownResult(schema)(getNodeValue(tree), {
        errors: "all",
        onExcessProperty: "error"
    });
    if (Result.isSuccess(decoded)) {
        return Right(decoded.success);
    }
    const failure = decoded.failure as unknown as { readonly issue: SchemaIssue.Issue; };
    const issues = formatIssue(failure.issue).issues;
    const faults = issues.map(issue =>
        faultAtPath(text, tree, (issue.path ?? []) as readonly (string | number)[], issue.message)
    );
    return Left(faults.sort((left, right) => left.line - right.line));
}

/** Parses and validates the settings file of an entry instance, with defaults filled in. */
export function parseSettings(text: string): Either<readonly DocumentFault[], InstanceSettings> {
    return parseDocument(Settings, text);
}

/** Parses an operators' configuration and validates its schema and the references within it. */
export function parseConfiguration(text: string): Either<readonly DocumentFault[], ConfigurationDocument> {
    return parseDocument(Configuration, text).chain(document => {
        const semanticFaults = checkConfiguration(document);
        if (semanticFaults.length === 0) {
            return Right(document);
        }
        const tree = parseTree(text, [], { allowTrailingComma: true })!;
        return Left(semanticFaults.map(({ path, expected }) => faultAtPath(text, tree, path, expected)));
    });
}
