import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Hashes a text to a number in [0, 1), the same on every instance. */
export function lookupHash(text: string): number {
    return h32(text) / 4_294_967_296;
}
