import { createHash, timingSafeEqual } from "node:crypto";

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

/** Compares a presented key with the expected one in constant time; hashing first makes the lengths equal. */
export function keysMatch(presentedKey: string, expectedKey: string): boolean {
    return timingSafeEqual(digest(presentedKey), digest(expectedKey));
}
