/** One fault of a document: where it stands, what was expected there and what was found. */
export interface DocumentFault {
    readonly line: number;
    readonly path: string;
    readonly expected: string;
    readonly found: string;
}

/** Writes faults for people, one a line, in the order of the document. */
export function describeFaults(source: string, faults: readonly DocumentFault[]): string {
    return faults
        .map(fault => `${source}:${fault.line}: ${fault.path}: expected ${fault.expected}, found ${fault.found}`)
        .join("\n");
}
