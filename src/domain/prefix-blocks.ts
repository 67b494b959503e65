/** Hashes of a prompt's prefix, block by block, in the form that engines publish in cache events. */
import { createHash } from "node:crypto";
import type { ChatMessage } from "./engine-protocol.js";

/** Characters in one block of the prefix cache. */
export const prefixBlockCharacters = 256;
const hashCharacters = 16;

/** One hash for each whole block; each covers all text up to the block's end. */
export function prefixBlockHashes(model: string, messages: readonly ChatMessage[]): string[] {
    const text = messages.map(message => `${message.role}\n${message.content}\n`).join("");
    const hashes: string[] = [];
    let previous = model;
    for (let start = 0; start + prefixBlockCharacters <= text.length; start += prefixBlockCharacters) {
        const block = text.slice(start, start + prefixBlockCharacters);
        previous = createHash("sha256").update(previous).update(block).digest("hex").slice(0, hashCharacters);
        hashes.push(previous);
    }
    return hashes;
}

/** Characters that count as one token in estimates. */
export const charactersPerToken = 4;

/** A rough count of a prompt's tokens, for admission and cost. */
export function estimatePromptTokens(messages: readonly ChatMessage[]): number {
    const characters = messages.reduce((total, message) => total + message.role.length + message.content.length + 2, 0);
    return Math.ceil(characters / charactersPerToken);
}
