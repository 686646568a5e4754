/**
 * Max-min fair division of `capacity` among demands with equal weights: no team gets more than it asks for, and what one
 * leaves is divided among the others.
 */
export function fairShares(demands: ReadonlyMap<string, number>, capacity: number): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    const ascending = [...demands].sort((a, b) => a[1] - b[1]);
    let rest = capacity;
    ascending.forEach(([team, demand], index) => {
        const share = Math.min(demand, rest / (ascending.length - index));
        shares.set(team, share);
        rest -= share;
    });
    return shares;
}
