/** Computes block hashes of a prompt's prefix, as used in the engines' cache events, and estimates token counts. */
import { createHash } from "node:crypto";
import type { ChatMessage } from "./engine-protocol.js";

/** Number of characters in one block of the prefix cache. */
export const prefixBlockCharacters = 256;
/** Number of hexadecimal digits that are kept of each hash. */
const hashDigits = 16;

/** Returns one hash per complete block. Each hash covers the model and all text up to the end of its block. */
export function prefixBlockHashes(model: string, messages: readonly ChatMessage[]): string[] {
    const text = messages.map(message => `${message.role}\n${message.content}\n`).join("");
    const hashes: string[] = [];
    let previous = model;
    for (let start = 0; start + prefixBlockCharacters <= text.length; start += prefixBlockCharacters) {
        const block = text.slice(start, start + prefixBlockCharacters);
        previous = createHash("sha256").update(previous).update(block).digest("hex").slice(0, hashDigits);
        hashes.push(previous);
    }
    return hashes;
}

/** Assumed average number of characters per token. */
export const charactersPerToken = 4;

/** Rough estimate of a prompt's token count, for admission control and cost estimates. */
export function estimatePromptTokens(messages: readonly ChatMessage[]): number {
    const characters = messages.reduce((total, message) => total + message.role.length + message.content.length + 2, 0);
    return Math.ceil(characters / charactersPerToken);
}
