/** Hashes that spread members and customers evenly. They need no secrecy. */

const prime = 16_777_619;
const offset = 2_166_136_261;

/** A 32-bit hash of a text (FNV-1a with a final mix, so that similar texts lie far apart). */
export function hashText(text: string): number {
    let hash = offset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), prime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
