// Writes docs/settings.md from the schemas; with --check it only compares.
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

const filledIn = parseSettings(readFileSync("examples/stacklight-settings.jsonc", "utf8")).unsafeCoerce();
const defaulted = /^(limits|timing|logLevel|recordDecisions|platform\.timeoutMillis)/;

/** Default of a settings field, from an example that leaves it out or gives the default. */
function defaultOf(field: string): string {
    if (!defaulted.test(field)) {
        return "";
    }
    const value = field.split(".").reduce<unknown>((found, name) => (found as Record<string, unknown>)[name], filledIn);
    return typeof value === "object" ? "" : String(value);
}

function merged(schema: JsonSchema): JsonSchema {
    return [schema, ...(schema.allOf ?? [])].reduce((all, part) => ({ ...all, ...part }), {});
}

function boundsOf(schema: JsonSchema): string {
    const bounds = [
        schema.minimum === undefined ? "" : `at least ${schema.minimum}`,
        schema.maximum === undefined ? "" : `at most ${schema.maximum}`,
        schema.enum === undefined ? "" : schema.enum.join(", "),
        schema.pattern === undefined ? "" : `\`${schema.pattern.replaceAll("|", "\\|")}\``
    ];
    return bounds.filter(bound => bound !== "").join("; ");
}

function rowsOf(schema: JsonSchema, prefix: string): readonly Row[] {
    const whole = merged(schema);
    const own: Row = {
        path: prefix,
        type: whole.type ?? "object",
        bounds: boundsOf(whole),
        description: whole.description ?? ""
    };
    const below = [
        ...Object.entries(whole.properties ?? {}).flatMap(([name, each]) =>
            rowsOf(each, prefix === "" ? name : `${prefix}.${name}`)
        ),
        ...(whole.items === undefined ? [] : rowsOf(whole.items, `${prefix}[]`)),
        ...(typeof whole.additionalProperties === "object"
            ? rowsOf(whole.additionalProperties, `${prefix}.<name>`)
            : [])
    ];
    return prefix === "" || (own.description === "" && below.length > 0) ? below : [own, ...below];
}

function table(schema: JsonSchema, defaults: (field: string) => string): string {
    const rows = rowsOf(schema, "").map(row =>
        `| \`${row.path}\` | ${row.type} | ${row.bounds} | ${defaults(row.path)} | ${row.description} |`
    );
    return ["| field | type | bounds | default | meaning |", "| --- | --- | --- | --- | --- |", ...rows].join("\n");
}

function schemaOf(schema: Schema.Top): JsonSchema {
    return Schema.toJsonSchemaDocument(schema).schema as JsonSchema;
}

const page = `# Settings and configuration

Generated from the schemas by \`npm run docs\`. Both are JSON with comments; a faulty file is refused with every fault's
line, path, what was expected and what was found. Examples are in \`examples/\`.

## Settings of an entry instance

Read once at the start, from the file named on the command line. Fields not marked otherwise in the examples have
defaults.

${table(schemaOf(Settings), defaultOf)}

## The operators' configuration

One versioned document in the platform's table service; \`endivectl accept FILE\` proposes a new version.

${table(schemaOf(Configuration), () => "")}
`;

if (process.argv.includes("--check")) {
    if (readFileSync(path, "utf8") !== page) {
        console.error(`${path} is not what the schemas say: run npm run docs`);
        process.exitCode = 1;
    }
}
else {
    writeFileSync(path, page);
}
