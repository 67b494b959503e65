/** Non-cryptographic hashes that distribute members and customers evenly. */

const fnvPrime = 16_777_619;
const fnvOffsetBasis = 2_166_136_261;

/** Unsigned 32-bit FNV-1a hash with the finalizer of MurmurHash3, so that similar texts get distant hashes. */
export function hashText(text: string): number {
    let hash = fnvOffsetBasis;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
