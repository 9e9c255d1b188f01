/** A fault of a document: its line and path, the expected value and the value found. */
export interface DocumentFault {
    readonly line: number;
    readonly path: string;
    readonly expected: string;
    readonly found: string;
}

/** Formats faults as human-readable text, one per line, in the given order. */
export function describeFaults(source: string, faults: readonly DocumentFault[]): string {
    return faults
        .map(fault => `${source}:${fault.line}: ${fault.path}: expected ${fault.expected}, found ${fault.found}`)
        .join("\n");
}
