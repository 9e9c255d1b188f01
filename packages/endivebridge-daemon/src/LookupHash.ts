import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Stable number in [0, 1) for a text. */
export function lookupHash(text: string): number {
    return h32(text) / 4_294_967_296;
}
