# Plots p95 time to first token by prompt length class, one line a policy.
# Usage: gnuplot -c tools/plot_ttft.gp DATA.dat OUTPUT.svg
set terminal svg size 900,540 background "white"
set output ARG2
set title "p95 time to first token in mixed at 70% load"
set xlabel "prompt length class"
set ylabel "milliseconds"
set logscale y
set grid ytics
set xtics noenhanced
set key outside right
set xrange [-0.2:3.2]
columns = int(system(sprintf("head -1 '%s' | wc -w", ARG1)))
plot for [c = 2:columns] ARG1 skip 1 using 0:c:xtic(1) with linespoints lw 2 \
  title sprintf("%s", word(system(sprintf("head -1 '%s'", ARG1)), c)) noenhanced
