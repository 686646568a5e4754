/**
 * Max-min fair allocation of `capacity` to teams of equal weight: no team gets more than its demand, and what a team
 * does not need is divided among the others.
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
