const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** 32-bit hash of a text (FNV-1a with a final mix). */
export function hashText(text: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    return mixHashes(hash, 0);
}

/** Mixes two 32-bit hashes into one; the order of the arguments matters. */
export function mixHashes(left: number, right: number): number {
    let mixed = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b);
    mixed ^= mixed >>> 13;
    mixed = Math.imul(mixed, 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
