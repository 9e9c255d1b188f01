// Generates docs/settings.md from the schemas; with --check it only verifies that the file is up to date.
import { Configuration, parseSettings, Settings } from "@endivebridge/settings";
import { Schema } from "effect";
import { readFileSync, writeFileSync } from "node:fs";

interface JsonSchema {
    readonly type?: string;
    readonly description?: string;
    readonly properties?: Readonly<Record<string, JsonSchema>>;
    readonly required?: readonly string[];
    readonly items?: JsonSchema;
    readonly additionalProperties?: JsonSchema | boolean;
    readonly allOf?: readonly JsonSchema[];
    readonly anyOf?: readonly JsonSchema[];
    readonly enum?: readonly unknown[];
    readonly minimum?: number;
    readonly maximum?: number;
    readonly pattern?: string;
}

interface Row {
    readonly path: string;
    readonly type: string;
    readonly bounds: string;
    readonly description: string;
}

const path = "docs/settings.md";

const exampleSettings = parseSettings(readFileSync("examples/stacklight-settings.jsonc", "utf8")).unsafeCoerce();
const fieldsWithDefault = /^(limits|timing|logLevel|recordDecisions|platform\.timeoutMillis)/;

/** Returns the default of a settings field, read from the parsed example, which omits these fields or sets the defaults. */
function findDefault(field: string): string {
    if (!fieldsWithDefault.test(field)) {
        return "";
    }
    const value = field.split(".").reduce<unknown>(
        (current, name) => (current as Record<string, unknown>)[name],
        exampleSettings
    );
    return typeof value === "object" ? "" : String(value);
}

function mergeAllOf(schema: JsonSchema): JsonSchema {
    return [schema, ...(schema.allOf ?? [])].reduce((result, part) => ({ ...result, ...part }), {});
}

function formatBounds(schema: JsonSchema): string {
    const bounds = [
        schema.minimum === undefined ? "" : `at least ${schema.minimum}`,
        schema.maximum === undefined ? "" : `at most ${schema.maximum}`,
        schema.enum === undefined ? "" : schema.enum.join(", "),
        schema.pattern === undefined ? "" : `\`${schema.pattern.replaceAll("|", "\\|")}\``
    ];
    return bounds.filter(bound => bound !== "").join("; ");
}

function collectRows(schema: JsonSchema, prefix: string): readonly Row[] {
    const mergedSchema = mergeAllOf(schema);
    const own: Row = {
        path: prefix,
        type: mergedSchema.type ?? "object",
        bounds: formatBounds(mergedSchema),
        description: mergedSchema.description ?? ""
    };
    const nestedRows = [
        ...Object.entries(mergedSchema.properties ?? {}).flatMap(([name, each]) =>
            collectRows(each, prefix === "" ? name : `${prefix}.${name}`)
        ),
        ...(mergedSchema.items === undefined ? [] : collectRows(mergedSchema.items, `${prefix}[]`)),
        ...(typeof mergedSchema.additionalProperties === "object"
            ? collectRows(mergedSchema.additionalProperties, `${prefix}.<name>`)
            : [])
    ];
    return prefix === "" || (own.description === "" && nestedRows.length > 0) ? nestedRows : [own, ...nestedRows];
}

function table(schema: JsonSchema, getDefault: (field: string) => string): string {
    const rows = collectRows(schema, "").map(row =>
        `| \`${row.path}\` | ${row.type} | ${row.bounds} | ${getDefault(row.path)} | ${row.description} |`
    );
    return ["| field | type | bounds | default | meaning |", "| --- | --- | --- | --- | --- |", ...rows].join("\n");
}

function toJsonSchema(schema: Schema.Top): JsonSchema {
    return Schema.toJsonSchemaDocument(schema).schema as JsonSchema;
}

const pageText = `# Settings and configuration

Generated from the schemas by \`npm run docs\`. Both are JSON with comments; a faulty file is refused with every fault's
line, path, what was expected and what was found. Examples are in \`examples/\`.

## Settings of an entry instance

Read once at the start, from the file named on the command line. Fields not marked otherwise in the examples have
defaults.

${table(toJsonSchema(Settings), findDefault)}

## The operators' configuration

One versioned document in the platform's table service; \`endivectl accept FILE\` proposes a new version.

${table(toJsonSchema(Configuration), () => "")}
`;

if (process.argv.includes("--check")) {
    if (readFileSync(path, "utf8") !== pageText) {
        console.error(`${path} is out of date with the schemas: run npm run docs`);
        process.exitCode = 1;
    }
}
else {
    writeFileSync(path, pageText);
}
